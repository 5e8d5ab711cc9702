/*
 * Whether the failure domain of this host is out, as entries say. An entry whose configuration is older than what
 * another has shown doesn't change the view.
 */
package org.greengagepass.agent.version

import org.greengagepass.core.FencingToken

/** The newest that entries have said of the own failure domain. */
internal class FailureDomainView {
    /** True if the failure domain is out. */
    var isOut: Boolean = false
        private set

    /** Highest version of the configuration that an entry has shown. */
    var version: FencingToken = FencingToken.NONE
        private set

    /** An entry with configuration [version] said [out]. True if the state changed. */
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
