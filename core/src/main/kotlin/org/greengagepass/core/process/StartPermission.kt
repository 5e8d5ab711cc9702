/*
 * Decides whether and until when tasks may be started.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.OwnerInput.HostHeartbeat

/** Permission to start tasks, derived from the age of the views of the configuration and the stream. */
internal class StartPermission(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
    private val configuration: OwnerConfiguration,
) {
    /** True if the views are recent enough to start tasks now. */
    val isGranted: Boolean
        get() = remainingMillis() > 0

    /** True if [failureDomain] is out of service. */
    fun isOut(failureDomain: FailureDomainName): Boolean = configuration.isOut(failureDomain)

    /** Deadline, by the worker's clock, of starts that answer [heartbeat]; null if none is permitted. */
    fun deadline(heartbeat: HostHeartbeat): Timestamp? =
        if (isGranted && !isOut(heartbeat.failureDomain)) {
            heartbeat.workerClock.plusMillis(remainingMillis())
        } else {
            null
        }

    /**
     * The age of the view of the stream counts like that of the configuration: an owner that was replaced must not
     * start attempts after the new owner has begun to wait for them to end.
     */
    private fun remainingMillis(): Long {
        val configurationAge = configuration.ageMillis(context.now)
        val age = configurationAge?.let { maxOf(it, ownership.confirmationAgeMillis) } ?: Long.MAX_VALUE
        return maxOf(0, context.settings.startPermissionMillis - minOf(age, context.settings.startPermissionMillis))
    }
}
