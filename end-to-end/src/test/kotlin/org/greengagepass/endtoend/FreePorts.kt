/*
 * Ports for the processes of a test. The operating system may return a free port again before its process listens, so
 * the returned ports are remembered.
 */
package org.greengagepass.endtoend

import java.net.ServerSocket

/** Free ports, each returned once. */
internal object FreePorts {
    private val returned = HashSet<Int>()

    /** Returns a free port that was not returned before. */
    @Synchronized
    fun next(): Int = generateSequence { ServerSocket(0).use { it.localPort } }.first { returned.add(it) }
}
