/*
 * Messages between entries. Either side may send queries; an answer carries the number of its query.
 */
package org.greengagepass.protocol.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.EntryId
import org.greengagepass.core.FencingToken
import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.RequestId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.core.version.Profile

/** A message between two entries. */
@Serializable
public sealed class PeerMessage {
    /** First message of a connection. */
    @Serializable
    @SerialName("peerHello")
    public data class PeerHello(
        val protocolVersion: Int,
        val entry: EntryId,
    ) : PeerMessage()

    /** Asks how far the peer has read the configuration stream. */
    @Serializable
    @SerialName("headQuery")
    public data class HeadQuery(
        val number: Long,
    ) : PeerMessage()

    /** The [head] of the configuration stream, confirmed [ageMillis] before this message was written. */
    @Serializable
    @SerialName("headAnswer")
    public data class HeadAnswer(
        val number: Long,
        val head: FencingToken,
        val ageMillis: Long,
    ) : PeerMessage()

    /** The sender has no confirmed view of the configuration stream. */
    @Serializable
    @SerialName("noHead")
    public data class NoHead(
        val number: Long,
    ) : PeerMessage()

    /** A non-idempotent request, forwarded to the owner of the partition of its key. */
    @Serializable
    @SerialName("forward")
    public data class Forward(
        val requestId: RequestId,
        val partition: PartitionNumber,
        val traceparent: String,
        val team: TeamName,
        val idempotencyKey: String,
        val service: ServiceName,
        val operation: WorkKind,
        val body: String,
        val profile: Profile,
        val remainingMillis: Long,
    ) : PeerMessage()

    /** Outcome of a forwarded request. */
    @Serializable
    @SerialName("forwardAnswer")
    public data class ForwardAnswer(
        val requestId: RequestId,
        val outcome: RequestOutcome,
    ) : PeerMessage()

    /** The sender does not own the partition, so it can't determine the outcome of the request. */
    @Serializable
    @SerialName("forwardRefused")
    public data class ForwardRefused(
        val requestId: RequestId,
    ) : PeerMessage()
}
