/*
 * Handles messages of other entries.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.connection.PeerMessageHandler
import org.greengagepass.entry.version.ConfigurationService
import org.greengagepass.protocol.connection.PeerMessage

/** Answers queries about the configuration, and passes forwarded requests to [execute]. */
public class EntryPeerMessageHandler(
    private val configuration: ConfigurationService,
    private val clock: MonotonicClock,
    private val execute: suspend (PeerMessage.Forward) -> RequestOutcome?,
) : PeerMessageHandler {
    override fun answerHeadQuery(query: PeerMessage.HeadQuery): PeerMessage.HeadAnswer? =
        configuration.freshness.answerForPeer(clock.now())?.let {
            PeerMessage.HeadAnswer(query.number, it.head, it.ageMillis)
        }

    override fun onHeadAnswer(
        sentAt: Timestamp,
        answer: PeerMessage.HeadAnswer,
    ) {
        configuration.freshness.peerAnswered(sentAt, answer.head, answer.ageMillis)
    }

    override suspend fun executeForwarded(forward: PeerMessage.Forward): RequestOutcome? = execute(forward)
}
