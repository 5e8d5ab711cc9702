/*
 * Messages between entries. Either side may ask; answers carry the number of the question.
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

    /** Asks how far the other has read the configuration stream. */
    @Serializable
    @SerialName("headQuery")
    public data class HeadQuery(
        val number: Long,
    ) : PeerMessage()

    /** [head] of the configuration stream as confirmed [ageMillis] before this message was written. */
    @Serializable
    @SerialName("headAnswer")
    public data class HeadAnswer(
        val number: Long,
        val head: FencingToken,
        val ageMillis: Long,
    ) : PeerMessage()

    /** The asked entry has no confirmed view of the configuration stream. */
    @Serializable
    @SerialName("noHead")
    public data class NoHead(
        val number: Long,
    ) : PeerMessage()

    /** A non-idempotent request for the owner of the partition of its key. */
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

    /** The asked entry can't tell what became of the key, because it is not the owner of the partition. */
    @Serializable
    @SerialName("forwardRefused")
    public data class ForwardRefused(
        val requestId: RequestId,
    ) : PeerMessage()
}
