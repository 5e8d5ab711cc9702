/*
 * One agent and its upstream in a simulated history of requests. It counts the runs of each request.
 */
package org.greengagepass.core.request

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.connection.DispatchDecision
import org.greengagepass.core.connection.HandledRequests
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.core.connection.StartDecision

/** Number of runs that upstreams have started, by request. */
internal class RunCounts {
    private val runs = HashMap<RequestId, Int>()

    fun ran(wireId: RequestId) {
        runs.merge(checkNotNull(AttemptId.fromWireId(wireId)).requestId, 1, Int::plus)
    }

    fun runsOf(requestId: RequestId): Int = runs[requestId] ?: 0
}

internal class SimulatedAgent(
    private val host: HostId,
    private val clockOffsetMillis: Long,
    private val runCounts: RunCounts,
) {
    private var handled = HandledRequests()
    private val waiting = ArrayList<RequestId>()
    private val running = ArrayList<RequestId>()
    private var draining = false
    var identity = AgentIdentity(host, Incarnation(1))
        private set

    fun clock(now: Timestamp): Timestamp = now.plusMillis(clockOffsetMillis)

    fun report(): UpstreamReport =
        UpstreamReport(
            agent = identity,
            failureDomain = FailureDomainName("port"),
            freeSlots = UpstreamReport.DEFAULT_SLOTS - running.size,
            queueLength = waiting.size,
            isDraining = draining,
        )

    /** Restarts the agent process. Runs that its upstream has started still count. */
    fun restart() {
        identity = AgentIdentity(host, Incarnation(identity.incarnation.value + 1))
        handled = HandledRequests()
        waiting.clear()
        running.clear()
        draining = false
    }

    fun drain() {
        draining = true
        handled.startDraining()
    }

    fun receive(
        wireId: RequestId,
        deadline: Timestamp,
        now: Timestamp,
        isFull: Boolean,
    ): RequestOutcome? {
        val refusal = RequestOutcome.NotRun(ResultCode.OVERLOADED, "the queue is full").takeIf { isFull }
        val decision = handled.receive(wireId, deadline, clock(now), refusal)
        if (decision is DispatchDecision.Accept) {
            check(!draining) { "G8: $host took $wireId while draining" }
            waiting.add(wireId)
        }
        return decision.outcome
    }

    fun inquire(
        inquiries: List<Inquiry>,
        now: Timestamp,
    ): List<InquiryResult> = handled.inquire(inquiries, clock(now))

    /** Starts the request that has waited longest. Returns an answer if it is refused. */
    fun startNext(now: Timestamp): Pair<RequestId, RequestOutcome>? {
        val wireId = waiting.removeFirstOrNull() ?: return null
        return when (val decision = handled.start(wireId, clock(now))) {
            is StartDecision.Refuse -> wireId to decision.outcome
            is StartDecision.Skip -> null
            is StartDecision.Start -> {
                running.add(wireId)
                runCounts.ran(wireId)
                null
            }
        }
    }

    /** Ends the request that has run longest, with a complete or a malformed answer. */
    fun finishNext(isMalformed: Boolean): Pair<RequestId, RequestOutcome>? {
        val wireId = running.removeFirstOrNull() ?: return null
        val outcome =
            if (isMalformed) {
                MALFORMED
            } else {
                RequestOutcome.Ran(
                    answerTo(checkNotNull(AttemptId.fromWireId(wireId)).requestId),
                )
            }
        return handled.end(wireId, outcome)?.let { wireId to it }
    }

    fun expire(now: Timestamp): List<Pair<RequestId, RequestOutcome>> =
        handled.expire(clock(now)).map { it.requestId to it.outcome }
}

internal fun answerTo(requestId: RequestId): Answer = Answer(200, "text/plain", "answer to ${requestId.value}")

/** A malformed outcome: its type says "not run", but its code does not prove it. */
private val MALFORMED = RequestOutcome.NotRun(ResultCode.AGENT_LOST, "the upstream failed")
