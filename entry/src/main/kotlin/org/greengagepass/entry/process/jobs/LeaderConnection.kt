/*
 * This entry's connection to a leader in another process.
 */
package org.greengagepass.entry.process.jobs

import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.SchedulerConnectionListener
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.LeaderDirectory

/** Keeps the leader client of [gateway] up to date and reports the state of the leader to [candidate]. */
internal class LeaderConnection(
    private val identity: EntryIdentity,
    private val seedAddresses: List<String>,
    private val directory: LeaderDirectory,
    private val candidate: LeadershipCandidate,
    private val gateway: CallerGateway,
) : SchedulerConnectionListener {
    private var remote: RemoteLeaderClient? = null
    private var isStoreAvailable = true
    private var connectedEpoch = Epoch.NONE

    private val localLeader: LocalLeaderClient?
        get() = gateway.leaderClient.value as? LocalLeaderClient

    /** True while the leader is connected and its store is available. */
    val isLeaderAvailable: Boolean
        get() = remote != null && isStoreAvailable && !candidate.isSilent()

    override fun addresses(): List<String> =
        (listOfNotNull(directory.newest?.address) + seedAddresses).filter { it != identity.address }

    /** A leader in this process that can't reach the store may have a successor, so its peers are asked. */
    override fun hello(): ToScheduler? =
        ToScheduler
            .EntryHello(PROTOCOL_VERSION, identity.name)
            .takeIf { localLeader?.isStoreAvailable != true }

    override fun onConnected(
        epoch: Epoch,
        address: String,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    ) {
        if (localLeader?.isSupersededBy(epoch) == false) {
            connection.close()
            return
        }
        logger.info("connected to the leader of epoch {} at {}", epoch.value, address)
        directory.connected(epoch, address)
        val connected = RemoteLeaderClient(connection)
        remote = connected
        isStoreAvailable = true
        connectedEpoch = epoch
        candidate.onLeaderAlive()
        gateway.leaderClient.value = connected
    }

    override fun onMessage(message: FromScheduler) {
        when (message) {
            is FromScheduler.Reply -> remote?.onReply(message)
            is FromScheduler.Pong -> {
                isStoreAvailable = message.isStoreAvailable
                if (message.isStoreAvailable) {
                    candidate.onLeaderAlive()
                } else {
                    candidate.onStoreUnavailable(connectedEpoch)
                }
            }
            else -> Unit
        }
    }

    override fun isCurrent(): Boolean = connectedEpoch >= (directory.newest?.epoch ?: Epoch.NONE)

    override fun onDisconnected() {
        val disconnected = remote ?: return
        logger.info("the connection to the leader is lost")
        remote = null
        gateway.leaderClient.compareAndSet(disconnected, null)
        disconnected.onDisconnected()
    }

    override fun onNotLeading(address: String) {
        candidate.onNotLeading(address)
    }

    private companion object {
        private val logger = LogManager.getLogger(LeaderConnection::class.java)
    }
}
