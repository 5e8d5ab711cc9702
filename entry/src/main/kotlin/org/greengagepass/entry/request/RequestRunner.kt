/*
 * Executes requests at agents. The core decides about each request; this class exchanges messages with agents and
 * resumes waiting callers.
 */
package org.greengagepass.entry.request

import kotlinx.coroutines.CompletableDeferred
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.HostId
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.connection.AgentClock
import org.greengagepass.core.request.EntryAction
import org.greengagepass.core.request.EntryRequests
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.connection.AgentSession
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.process.Tracing
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import java.util.UUID
import kotlin.random.Random

/**
 * Executes the requests of this entry at the agents that [sessionOf] finds. Confined to the process's decision
 * dispatcher.
 */
public class RequestRunner(
    private val policies: ServicePolicies,
    private val clock: MonotonicClock,
    tracing: Tracing,
    private val sessionOf: (HostId) -> AgentSession?,
) : RequestService {
    private val core = EntryRequests(Random.Default, policies::of)
    private val spans = AttemptSpans(tracing)
    private val waiting = HashMap<RequestId, WaitingCaller>()

    /** Number of requests without an outcome. */
    public val inProgress: Int
        get() = waiting.size

    /** Executes [request]. This entry assigns the identifier on the wire, since callers may repeat theirs. */
    override suspend fun execute(request: CallerRequest): RequestOutcome {
        val requestId = RequestId(UUID.randomUUID().toString())
        val caller = WaitingCaller(request, CompletableDeferred())
        waiting[requestId] = caller
        carryOut(core.submit(request.describe(requestId), clock.now()))
        return caller.outcome.await()
    }

    /** The agent of [session] has connected. */
    public fun onConnected(session: AgentSession) {
        carryOut(core.connected(session.identity, clock.now()))
    }

    /** The agent of [session] has reported the state of its upstreams. */
    public fun onHeartbeat(
        session: AgentSession,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        core.heartbeat(session.identity, AgentClock(heartbeat.agentClock, clock.now()))
        policies.reported(session.hello.failureDomain, session.identity, heartbeat)
    }

    /** An agent has answered a dispatch. */
    public fun onAnswer(
        session: AgentSession,
        message: AgentMessage.RequestAnswer,
    ) {
        spans.answered(message.requestId, message.outcome.code)
        carryOut(core.answered(message.requestId, session.identity, message.outcome, clock.now()))
    }

    /** An agent has answered inquiries. */
    public fun onInquiryAnswer(
        session: AgentSession,
        message: AgentMessage.InquiryAnswer,
    ) {
        carryOut(core.inquiryAnswered(session.identity, message.results, clock.now()))
    }

    /** The connection of [session] is lost. */
    public fun onDisconnected(session: AgentSession) {
        policies.gone(session.hello.host)
        carryOut(core.connectionLost(session.identity, clock.now()))
    }

    /** Handles deadlines that have passed. Must be called every few milliseconds. */
    public fun tick() {
        val deadline = core.nextDeadline
        if (deadline != null && deadline <= clock.now()) {
            carryOut(core.timeReached(clock.now()))
        }
    }

    private fun carryOut(actions: List<EntryAction>) {
        actions.forEach { action ->
            when (action) {
                is EntryAction.Dispatch -> dispatch(action)
                is EntryAction.Answer -> {
                    spans.requestEnded(action.requestId, action.outcome.code)
                    waiting.remove(action.requestId)?.outcome?.complete(action.outcome)
                }

                is EntryAction.Inquire ->
                    sessionOf(action.agent.host)?.send(EntryMessage.Inquire(action.inquiries))
            }
        }
    }

    private fun dispatch(action: EntryAction.Dispatch) {
        val caller = waiting[action.request.requestId] ?: return
        val session = sessionOf(action.agent.host)?.takeIf { it.identity == action.agent }
        val traceparent = spans.start(action, caller.request.traceparent)
        val isSent = session?.send(caller.request.toDispatch(action, traceparent)) == true
        if (!isSent) {
            spans.answered(action.attempt.wireId, NOT_SENT.code)
            logger.warn(
                "dispatch {} to the agent of {} was not sent",
                action.attempt.wireId.value,
                action.agent.host.value,
            )
            carryOut(core.answered(action.attempt.wireId, action.agent, NOT_SENT, clock.now()))
        }
    }

    private class WaitingCaller(
        val request: CallerRequest,
        val outcome: CompletableDeferred<RequestOutcome>,
    )

    private companion object {
        private val logger = LogManager.getLogger(RequestRunner::class.java)
        private val NOT_SENT =
            RequestOutcome.NotRun(ResultCode.NO_UPSTREAM, "the connection to the agent was closed before the dispatch")
    }
}
