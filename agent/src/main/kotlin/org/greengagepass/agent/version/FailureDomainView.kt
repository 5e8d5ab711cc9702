/*
 * Whether the failure domain of this host is out of service, as reported by entries. A report with an older
 * configuration version than one already seen is ignored.
 */
package org.greengagepass.agent.version

import org.greengagepass.core.FencingToken

/** Newest state of the host's failure domain that entries have reported. */
internal class FailureDomainView {
    /** True if the failure domain is out of service. */
    var isOut: Boolean = false
        private set

    /** Highest configuration version that an entry has reported. */
    var version: FencingToken = FencingToken.NONE
        private set

    /** Applies the state [out] at configuration [version]. Returns true if the state changed. */
    fun observe(
        version: FencingToken,
        out: Boolean,
    ): Boolean {
        if (version < this.version) return false
        this.version = version
        val changed = out != isOut
        isOut = out
        return changed
    }
}
