/*
 * Position of a record in the stream of a partition, with the time that the stream states there.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken

/** Where a record stands, and the latest time that the stream states up to there. */
internal data class RecordPosition(
    val token: FencingToken,
    val epochMillis: Long,
)
