/*
 * What the owner of a partition has to know of the configuration.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp

/** The entry's view of the configuration. */
public interface OwnerConfiguration {
    /** Age at [now] of the read that last confirmed the view; null if nothing confirmed it yet. */
    public fun ageMillis(now: Timestamp): Long?

    /** True if [failureDomain] is out of service. */
    public fun isOut(failureDomain: FailureDomainName): Boolean
}
