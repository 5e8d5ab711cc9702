/*
 * JSON bodies of the worker's HTTP interface: one body for each operation of WorkerService.
 */
package org.greengagepass.services.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.core.Timestamp

/** Body of attach and report. */
@Serializable
public data class IncarnationBody(
    val incarnation: Incarnation,
)

/** Body of start. */
@Serializable
public data class StartBody(
    val incarnation: Incarnation,
    val start: WorkerStart,
)

/** Body of renew. */
@Serializable
public data class RenewBody(
    val incarnation: Incarnation,
    val tokens: List<FencingToken>,
    val leaseDeadline: Timestamp,
)

/** Body of throttle. */
@Serializable
public data class ThrottleBody(
    val incarnation: Incarnation,
    val token: FencingToken,
    val permille: Int,
)

/** Body of checkpoint and stop. */
@Serializable
public data class TokenBody(
    val incarnation: Incarnation,
    val token: FencingToken,
)

/** Body of forget. */
@Serializable
public data class ForgetBody(
    val incarnation: Incarnation,
    val tokens: List<FencingToken>,
)

/** Response to an operation that returns no value. */
@Serializable
public data object DoneBody
