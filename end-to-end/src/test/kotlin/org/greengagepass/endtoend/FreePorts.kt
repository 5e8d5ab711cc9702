/*
 * Ports for the processes of a test. The system may give a port again once it is free, so those given are remembered.
 */
package org.greengagepass.endtoend

import java.net.ServerSocket

/** Ports on which nobody listens, each given once. */
internal object FreePorts {
    private val given = HashSet<Int>()

    /** A port that was not given before. */
    @Synchronized
    fun next(): Int = generateSequence { ServerSocket(0).use { it.localPort } }.first { given.add(it) }
}
