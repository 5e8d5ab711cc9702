/*
 * One connection of an agent, from the agent's hello to the end of the connection. State that must survive a
 * reconnection is kept in the tables of the process.
 */
package org.greengagepass.entry.connection

import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.FramedConnection

/** A connection whose agent has sent [hello]. */
public class AgentSession(
    public val hello: AgentMessage.Hello,
    private val connection: FramedConnection<EntryMessage, AgentMessage>,
) {
    /** Identity of the agent process. */
    public val identity: AgentIdentity = AgentIdentity(hello.host, hello.incarnation)

    /** The last heartbeat; null before the first. */
    public var heartbeat: AgentMessage.Heartbeat? = null

    /** Sends [message]. Returns false if the connection is closed or the agent does not read. */
    public fun send(message: EntryMessage): Boolean = connection.send(message)

    /** Closes the connection. */
    public fun close() {
        connection.close()
    }
}
