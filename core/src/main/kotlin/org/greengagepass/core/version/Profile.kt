/*
 * Profiles: named descriptions of how a class of work is treated. Operators publish and revise them; a service
 * picks one by name.
 */
package org.greengagepass.core.version

import kotlinx.serialization.Serializable
import org.greengagepass.core.ProfileName

/** Order in which work is admitted and placed; the first is served first. */
@Serializable
public enum class Priority {
    URGENT,
    NORMAL,
    BACKGROUND,
}

/** How work of a profile is carried out and what may be done with it on failure. */
@Serializable
public enum class ServiceClass {
    /** Idempotent request, answered by an upstream; may be retried. */
    QUICK,

    /** Non-idempotent request, answered by an upstream; runs at most once. */
    AT_MOST_ONCE,

    /** Long task on a worker, resumed from its last checkpoint. */
    BATCH,

    /** Task on a worker without an end of its own, resumed from its last checkpoint. */
    STANDING,
}

/** How a class of work is treated. */
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
        /** Latency objective of a profile that states none, in milliseconds. */
        public const val DEFAULT_LATENCY_OBJECTIVE_MILLIS: Long = 100

        /** Most further attempts after a first that did not run. */
        public const val DEFAULT_RETRY_LIMIT: Int = 2

        /** Deadline of a request whose caller states none, in milliseconds after its arrival. */
        public const val DEFAULT_DEADLINE_MILLIS: Long = 5_000
    }
}
