/*
 * The simulated log: batches in the order of arrival. Like other messages, appends can be lost, duplicated and late.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp

internal class FakeLog(
    private val simulation: Simulation,
    private val guarantees: Guarantees,
) {
    val batches = ArrayList<TaskBatch>()
    var isDown = false

    fun append(batch: TaskBatch) =
        simulation.send {
            if (!isDown) {
                guarantees.appended(batches.size.toLong(), batch)
                batches += batch
            }
        }

    /** Reads a page of at most [PAGE_BATCHES] batches and passes it to [receive], unless the log is down. */
    fun read(
        sentAt: Timestamp,
        fromOffset: Long,
        receive: (OwnerInput) -> Unit,
    ) = simulation.send {
        if (!isDown) {
            val end = minOf(batches.size.toLong(), fromOffset + PAGE_BATCHES)
            val page = (fromOffset until end).map { BatchAtOffset(it, batches[it.toInt()]) }
            val input = OwnerInput.PageRead(sentAt, fromOffset, page, nextOffset = maxOf(end, fromOffset))
            simulation.send { receive(input) }
        }
    }

    private companion object {
        private const val PAGE_BATCHES = 8
    }
}
