/*
 * What the entry answers to other entries.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.connection.PeerEvents
import org.greengagepass.entry.version.ConfigurationService
import org.greengagepass.protocol.connection.PeerMessage

/** Answers questions about the configuration, and has forwarded requests carried out by [execute]. */
public class EntryPeerEvents(
    private val configuration: ConfigurationService,
    private val clock: MonotonicClock,
    private val execute: suspend (PeerMessage.Forward) -> RequestOutcome?,
) : PeerEvents {
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
