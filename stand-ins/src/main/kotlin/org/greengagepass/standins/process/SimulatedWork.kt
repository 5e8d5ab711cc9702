/*
 * What a simulated task does: how much work it has, what it uses, and how a processor limit slows it down.
 */
package org.greengagepass.standins.process

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.greengagepass.core.Resources

/** The whole of a processor limit. */
internal const val WHOLE_PERMILLE: Int = 1_000

private const val DEFAULT_RUN_MILLIS = 1_000L
private const val DEFAULT_MILLI_CORES = 1_000L
private const val DEFAULT_MEMORY_MEGABYTES = 256L

/** Work before which a task does not use all of its memory, so that limits are hit while it runs. */
private const val MEMORY_REACHED_AFTER_MILLIS = 100L

private val lenientJson = Json { ignoreUnknownKeys = true }

/** What a simulated task does, as given in its input. */
@Serializable
public data class SimulatedWork(
    val runMillis: Long = DEFAULT_RUN_MILLIS,
    val milliCores: Long = DEFAULT_MILLI_CORES,
    val memoryMegabytes: Long = DEFAULT_MEMORY_MEGABYTES,
    val fails: Boolean = false,
    val standing: Boolean = false,
) {
    /** True if [progressMillis] is all the work there is. */
    internal fun isComplete(progressMillis: Long): Boolean = !standing && progressMillis >= runMillis

    /** True if the task needs more memory than [limit] after [progressMillis] of an attempt. */
    internal fun exceeds(
        limit: Resources,
        progressMillis: Long,
    ): Boolean = memoryMegabytes > limit.memoryMegabytes && progressMillis >= MEMORY_REACHED_AFTER_MILLIS

    /** Speed under a processor limit, in permille of full speed. */
    internal fun speedPermille(allowedMilliCores: Long): Long =
        if (milliCores <= 0) {
            WHOLE_PERMILLE.toLong()
        } else {
            minOf(milliCores, allowedMilliCores) * WHOLE_PERMILLE / milliCores
        }

    /** What the task uses under [limit] when it may use [allowedMilliCores]. */
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
        /** The work in [input], or null if the input is not as agreed. An empty input stands for the defaults. */
        public fun parse(input: String): SimulatedWork? =
            try {
                lenientJson.decodeFromString(serializer(), input.ifBlank { "{}" })
            } catch (_: SerializationException) {
                null
            }
    }
}
