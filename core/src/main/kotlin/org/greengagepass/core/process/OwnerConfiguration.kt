/*
 * The part of the configuration that the owner of a partition depends on.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp

/** An entry's view of the configuration. */
public interface OwnerConfiguration {
    /** Age at [now] of the read that last confirmed the view; null if no read has confirmed it yet. */
    public fun ageMillis(now: Timestamp): Long?

    /** True if [failureDomain] is out of service. */
    public fun isOut(failureDomain: FailureDomainName): Boolean
}
