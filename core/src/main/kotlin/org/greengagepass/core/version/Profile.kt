/*
 * Profiles: named descriptions of how a class of work is handled. Operators publish and revise them, and a service
 * selects one by name.
 */
package org.greengagepass.core.version

import kotlinx.serialization.Serializable
import org.greengagepass.core.ProfileName

/** Order in which work is admitted and placed, from the highest priority to the lowest. */
@Serializable
public enum class Priority {
    URGENT,
    NORMAL,
    BACKGROUND,
}

/** How work of a profile is executed and whether it may be retried or resumed after a failure. */
@Serializable
public enum class ServiceClass {
    /** Idempotent request, answered by an upstream; may be retried. */
    QUICK,

    /** Non-idempotent request, answered by an upstream; runs at most once. */
    AT_MOST_ONCE,

    /** Long task on a worker, resumed from its last checkpoint. */
    BATCH,

    /** Task on a worker that runs until it is stopped, resumed from its last checkpoint. */
    STANDING,
}

/** How a class of work is handled. */
@Serializable
public data class Profile(
    val name: ProfileName,
    val serviceClass: ServiceClass,
    val priority: Priority = Priority.NORMAL,
    val latencyObjectiveMillis: Long = DEFAULT_LATENCY_OBJECTIVE_MILLIS,
    val evictable: Boolean = true,
    val throttleable: Boolean = true,
    val retryLimit: Int = DEFAULT_RETRY_LIMIT,
    val deadlineMillis: Long = DEFAULT_DEADLINE_MILLIS,
) {
    public companion object {
        /** Default latency objective of a profile, in milliseconds. */
        public const val DEFAULT_LATENCY_OBJECTIVE_MILLIS: Long = 100

        /** Default maximum number of retries after an attempt that did not run. */
        public const val DEFAULT_RETRY_LIMIT: Int = 2

        /** Default deadline of a request, in milliseconds after its arrival. */
        public const val DEFAULT_DEADLINE_MILLIS: Long = 5_000
    }
}
