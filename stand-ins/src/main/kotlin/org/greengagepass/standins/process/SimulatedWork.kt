/*
 * The work of a simulated task: its amount, its resource usage, and its speed under a processor limit.
 */
package org.greengagepass.standins.process

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.greengagepass.core.Resources

/** The full processor limit, in permille of itself. */
internal const val FULL_LIMIT_PERMILLE: Int = 1_000

private const val DEFAULT_RUN_MILLIS = 1_000L
private const val DEFAULT_MILLI_CORES = 1_000L
private const val DEFAULT_MEMORY_MEGABYTES = 256L

/** Progress at which a task uses all of its memory, so that it exceeds a memory limit only after it has started. */
private const val FULL_MEMORY_AFTER_MILLIS = 100L

private val lenientJson = Json { ignoreUnknownKeys = true }

/** The work of a simulated task, decoded from its input. */
@Serializable
public data class SimulatedWork(
    val runMillis: Long = DEFAULT_RUN_MILLIS,
    val milliCores: Long = DEFAULT_MILLI_CORES,
    val memoryMegabytes: Long = DEFAULT_MEMORY_MEGABYTES,
    val fails: Boolean = false,
    val standing: Boolean = false,
) {
    /** Returns true if the work is complete after [progressMillis]. */
    internal fun isComplete(progressMillis: Long): Boolean = !standing && progressMillis >= runMillis

    /** Returns true if the task exceeds the memory of [limit] after [progressMillis] of an attempt. */
    internal fun exceeds(
        limit: Resources,
        progressMillis: Long,
    ): Boolean = memoryMegabytes > limit.memoryMegabytes && progressMillis >= FULL_MEMORY_AFTER_MILLIS

    /** Returns the speed under a processor limit, in permille of full speed. */
    internal fun speedPermille(allowedMilliCores: Long): Long =
        if (milliCores <= 0) {
            FULL_LIMIT_PERMILLE.toLong()
        } else {
            minOf(milliCores, allowedMilliCores) * FULL_LIMIT_PERMILLE / milliCores
        }

    /** Returns the usage under [limit] while [allowedMilliCores] may be used. */
    internal fun usage(
        limit: Resources,
        allowedMilliCores: Long,
    ): Resources =
        Resources(
            milliCores = minOf(milliCores, allowedMilliCores),
            memoryMegabytes = minOf(memoryMegabytes, limit.memoryMegabytes),
            accelerators = limit.accelerators,
        )

    public companion object {
        /** Returns the work in [input], or null if [input] is invalid. A blank input gives the defaults. */
        public fun parse(input: String): SimulatedWork? =
            try {
                lenientJson.decodeFromString(serializer(), input.ifBlank { "{}" })
            } catch (_: SerializationException) {
                null
            }
    }
}
