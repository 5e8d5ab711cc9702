/*
 * JSON bodies of the log's HTTP interface. Payloads are bytes, encoded in base64.
 */
package org.greengagepass.services.process

import kotlinx.serialization.Serializable

/** Body of an append. */
@Serializable
public data class AppendBody(
    val payload: String,
)

/** Response to an append. */
@Serializable
public data class AppendedBody(
    val offset: Long,
)

/** One record in the response to a read. */
@Serializable
public data class LogRecordBody(
    val offset: Long,
    val payload: String,
)

/** Response to a read. */
@Serializable
public data class LogPageBody(
    val records: List<LogRecordBody>,
    val nextOffset: Long,
    val oldestOffset: Long,
)

/** Body of every response by which the platform refuses an operation; the operation had no effect. */
@Serializable
public data class RefusalBody(
    val reason: RefusalReason,
    val detail: String,
)
