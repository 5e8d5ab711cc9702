/*
 * Estimates of encoded sizes, which keep batches and chunks below the frame limit of 1 MiB for any texts that callers
 * put into tasks and upstreams into answers.
 */
package org.greengagepass.core.process

import org.greengagepass.core.process.TaskRecord.Finished
import org.greengagepass.core.process.TaskRecord.KeysForgotten
import org.greengagepass.core.process.TaskRecord.RequestCompleted
import org.greengagepass.core.process.TaskRecord.Submitted
import org.greengagepass.core.process.TaskRecord.TasksForgotten

private const val FIXED_BYTES = 400
private const val IDENTIFIER_BYTES = 100
private const val BYTES_PER_CHARACTER = 3

/** Maximum estimated size of a batch or chunk; half of the frame limit, because sizes are estimates. */
internal const val ENCODED_BYTES_MAXIMUM = 524_288

/** Upper estimate of the encoded size. */
internal fun TaskRecord.estimatedBytes(): Int =
    FIXED_BYTES +
        when (this) {
            is Submitted -> specification.input.length * BYTES_PER_CHARACTER
            is Finished -> result.length * BYTES_PER_CHARACTER
            is RequestCompleted -> answer.body.length * BYTES_PER_CHARACTER
            is KeysForgotten -> keys.size * IDENTIFIER_BYTES
            is TasksForgotten -> tasks.size * IDENTIFIER_BYTES
            else -> 0
        }

/** Upper estimate of the encoded size. */
internal fun SnapshotRecord.estimatedBytes(): Int =
    FIXED_BYTES +
        when (this) {
            is SnapshotRecord.Header -> writers.size * IDENTIFIER_BYTES
            is SnapshotRecord.TaskItem -> task.estimatedTextBytes()
            is SnapshotRecord.KeyItem ->
                (recorded.state as? KeyState.Completed)?.let { it.answer.body.length * BYTES_PER_CHARACTER } ?: 0
        }

/** The longest prefix with at most [countMaximum] items whose estimated sizes fit; at least one item. */
internal inline fun <T> Iterable<T>.takeFitting(
    countMaximum: Int,
    estimatedBytes: (T) -> Int,
): List<T> {
    val taken = ArrayList<T>()
    var bytes = 0L
    for (item in this) {
        bytes += estimatedBytes(item)
        if (taken.size == countMaximum || (taken.isNotEmpty() && bytes > ENCODED_BYTES_MAXIMUM)) break
        taken += item
    }
    return taken
}

private fun Task.estimatedTextBytes(): Int {
    val result = (state as? TaskState.Finished)?.result.orEmpty()
    return (specification.input.length + result.length) * BYTES_PER_CHARACTER +
        failures.hosts.size * IDENTIFIER_BYTES
}
