/*
 * Messages between the leader and its clients: agents, each for one host, and entries, which forward the requests of
 * callers.
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

/** A caller's request about a job. */
@Serializable
public sealed class JobRequest {
    /** The job that the request is about, or null if it is about a queue. */
    public abstract val job: JobId?

    /** Submit a job. */
    @Serializable
    @SerialName("submit")
    public data class Submit(
        val id: JobId,
        val queue: QueueDefinition,
        val specification: JobSpecification,
    ) : JobRequest() {
        override val job: JobId get() = id
    }

    /** Cancel a job. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val id: JobId,
    ) : JobRequest() {
        override val job: JobId get() = id
    }

    /** Return the state of a job. */
    @Serializable
    @SerialName("find")
    public data class Find(
        val id: JobId,
    ) : JobRequest() {
        override val job: JobId get() = id
    }

    /** Count the jobs in a queue that have not begun. */
    @Serializable
    @SerialName("pending")
    public data class CountPending(
        val queue: QueueName,
    ) : JobRequest() {
        override val job: JobId? get() = null
    }
}

/** A message to the leader. */
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

    /** The description of the host has changed, or a new incarnation of it has begun. */
    @Serializable
    @SerialName("described")
    public data class HostDescribed(
        val description: HostDescription,
    ) : ToScheduler()

    /** An incarnation of the host has ended. */
    @Serializable
    @SerialName("gone")
    public data class HostGone(
        val incarnation: HostIncarnation,
    ) : ToScheduler()

    /** The host's executor does not answer; the next report shows that it does again. */
    @Serializable
    @SerialName("silent")
    public data class ExecutorSilent(
        val incarnation: HostIncarnation,
    ) : ToScheduler()

    /** Reports what the host holds. */
    @Serializable
    @SerialName("report")
    public data class Report(
        val report: HostReport,
    ) : ToScheduler()

    /** Result of [FromScheduler.Start]. */
    @Serializable
    @SerialName("started")
    public data class StartAnswered(
        val result: StartResult,
    ) : ToScheduler()

    /** Result of [FromScheduler.Stop]. */
    @Serializable
    @SerialName("stopped")
    public data class StopAnswered(
        val result: StopResult,
    ) : ToScheduler()

    /** A caller's request, with a number that matches it to its [FromScheduler.Reply]. */
    @Serializable
    @SerialName("ask")
    public data class Request(
        val number: Long,
        @SerialName("question")
        val request: JobRequest,
    ) : ToScheduler()

    /** Requests a [FromScheduler.Pong], to detect silent connections. */
    @Serializable
    @SerialName("ping")
    public data object Ping : ToScheduler()
}

/** A message from the leader, or from an entry that is not the leader. */
@Serializable
public sealed class FromScheduler {
    /** The sender is the leader of [epoch]. */
    @Serializable
    @SerialName("welcome")
    public data class Welcome(
        val epoch: Epoch,
    ) : FromScheduler()

    /** The sender is not the leader; [leaderAddress] is the leader that it knows, if any. */
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

    /** The ends of runs up to number [through] are stored. */
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

    /** Throttle a run to [percent] of full speed. */
    @Serializable
    @SerialName("pace")
    public data class Throttle(
        val incarnation: HostIncarnation,
        val run: TaskRun,
        val percent: Int,
    ) : FromScheduler()

    /** Reply to the request [number]. */
    @Serializable
    @SerialName("answer")
    public data class Reply(
        val number: Long,
        val reply: JobReply,
    ) : FromScheduler()

    /** Reply to a ping; [isStoreAvailable] is false while the store is unavailable to the leader. */
    @Serializable
    @SerialName("pong")
    public data class Pong(
        @SerialName("canStore") val isStoreAvailable: Boolean,
    ) : FromScheduler()
}
