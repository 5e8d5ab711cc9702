/*
 * Messages between the leading scheduler and those that connect to it: agents, each for the host beside it, and
 * entries, which pass on what callers ask.
 */
package org.greengagepass.protocol.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartResult
import org.greengagepass.core.process.jobs.StopResult
import org.greengagepass.core.process.jobs.TaskRun

/** What a caller wants to know or to have done. */
@Serializable
public sealed class JobRequest {
    /** Take a job. */
    @Serializable
    @SerialName("submit")
    public data class Submit(
        val id: JobId,
        val queue: QueueDefinition,
        val specification: JobSpecification,
    ) : JobRequest()

    /** Cancel a job. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val id: JobId,
    ) : JobRequest()

    /** Tell what became of a job. */
    @Serializable
    @SerialName("find")
    public data class Find(
        val id: JobId,
    ) : JobRequest()

    /** Count jobs that have not begun. */
    @Serializable
    @SerialName("pending")
    public data class CountPending(
        val queue: QueueName,
    ) : JobRequest()
}

/** A message to the scheduler. */
@Serializable
public sealed class ToScheduler {
    /** First message of an agent. */
    @Serializable
    @SerialName("host")
    public data class HostHello(
        val protocolVersion: Int,
        val description: HostDescription,
    ) : ToScheduler()

    /** First message of an entry. */
    @Serializable
    @SerialName("entry")
    public data class EntryHello(
        val protocolVersion: Int,
        val entry: String,
    ) : ToScheduler()

    /** The host has changed, or another life of it has begun. */
    @Serializable
    @SerialName("described")
    public data class HostDescribed(
        val description: HostDescription,
    ) : ToScheduler()

    /** A life of the host has ended. */
    @Serializable
    @SerialName("gone")
    public data class HostGone(
        val incarnation: HostIncarnation,
    ) : ToScheduler()

    /** What the host holds. */
    @Serializable
    @SerialName("report")
    public data class Report(
        val report: HostReport,
    ) : ToScheduler()

    /** What became of an order to start. */
    @Serializable
    @SerialName("started")
    public data class StartAnswered(
        val result: StartResult,
    ) : ToScheduler()

    /** What became of an order to stop. */
    @Serializable
    @SerialName("stopped")
    public data class StopAnswered(
        val result: StopResult,
    ) : ToScheduler()

    /** A caller's question. */
    @Serializable
    @SerialName("ask")
    public data class Request(
        val number: Long,
        @SerialName("question")
        val request: JobRequest,
    ) : ToScheduler()

    /** Asks for a [FromScheduler.Pong], to find silent connections. */
    @Serializable
    @SerialName("ping")
    public data object Ping : ToScheduler()
}

/** A message of the scheduler, or of an entry that does not lead. */
@Serializable
public sealed class FromScheduler {
    /** The other end leads since [epoch]. */
    @Serializable
    @SerialName("welcome")
    public data class Welcome(
        val epoch: Epoch,
    ) : FromScheduler()

    /** The other end does not lead; [leaderAddress] does, as far as it knows. */
    @Serializable
    @SerialName("notLeading")
    public data class NotLeading(
        val leaderAddress: String?,
    ) : FromScheduler()

    /** The host may hold its tasks until its own clock reads [leaseUntilHostClock]. */
    @Serializable
    @SerialName("grant")
    public data class Grant(
        val incarnation: HostIncarnation,
        val leaseUntilHostClock: Long,
    ) : FromScheduler()

    /** Ends up to [through] are stored. */
    @Serializable
    @SerialName("ends")
    public data class AcknowledgeEnds(
        val incarnation: HostIncarnation,
        val through: Long,
    ) : FromScheduler()

    /** Start a run, unless the host's clock has passed [leaseUntilHostClock]. */
    @Serializable
    @SerialName("start")
    public data class Start(
        val incarnation: HostIncarnation,
        @SerialName("order")
        val command: StartCommand,
        val leaseUntilHostClock: Long,
    ) : FromScheduler()

    /** Stop a run. */
    @Serializable
    @SerialName("stop")
    public data class Stop(
        val incarnation: HostIncarnation,
        val run: TaskRun,
    ) : FromScheduler()

    /** Let a run work at [percent] of full speed. */
    @Serializable
    @SerialName("pace")
    public data class Throttle(
        val incarnation: HostIncarnation,
        val run: TaskRun,
        val percent: Int,
    ) : FromScheduler()

    /** Answer to the question [number]. */
    @Serializable
    @SerialName("answer")
    public data class Reply(
        val number: Long,
        val reply: JobReply,
    ) : FromScheduler()

    /** Answer to a ping; [canStore] is false while the store does not answer the scheduler. */
    @Serializable
    @SerialName("pong")
    public data class Pong(
        val canStore: Boolean,
    ) : FromScheduler()
}
