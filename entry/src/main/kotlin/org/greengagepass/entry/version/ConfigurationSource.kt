/*
 * The configuration as the owner of a partition reads it.
 */
package org.greengagepass.entry.version

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.OwnerConfiguration

/** Reads [configuration]. */
public class ConfigurationSource(
    private val configuration: ConfigurationService,
) : OwnerConfiguration {
    override fun ageMillis(now: Timestamp): Long? =
        configuration.freshness.confirmedAsOf?.let { maxOf(0, now.millisSince(it)) }

    override fun isOut(failureDomain: FailureDomainName): Boolean = configuration.view.isOut(failureDomain)
}
