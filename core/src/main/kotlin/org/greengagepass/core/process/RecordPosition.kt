/*
 * Position of a record in the stream of a partition, with the latest time in the stream up to it.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken

/** Position of a record, and the latest time in the stream up to there. */
internal data class RecordPosition(
    val token: FencingToken,
    val epochMillis: Long,
)
