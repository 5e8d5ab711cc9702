/*
 * Random histories of requests between one entry and a few agents. At every step a message may be delayed, lost,
 * repeated or attributed to another attempt, a connection may go silent, and an agent may crash or start to drain.
 */
package org.greengagepass.core.request

import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RequestId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentClock
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import kotlin.random.Random

private sealed class Message {
    data class Dispatch(
        val to: AgentIdentity,
        val wireId: RequestId,
        val deadline: Timestamp,
    ) : Message()

    data class Inquire(
        val to: AgentIdentity,
        val inquiries: List<Inquiry>,
    ) : Message()

    data class Answer(
        val from: AgentIdentity,
        val wireId: RequestId,
        val outcome: RequestOutcome,
    ) : Message()

    data class InquiryAnswer(
        val from: AgentIdentity,
        val results: List<InquiryResult>,
    ) : Message()

    data class Heartbeat(
        val reading: Timestamp,
        val report: UpstreamReport,
    ) : Message()
}

/** One history, determined by [seed]. A violated guarantee throws an exception with its number. */
internal class RequestSimulation(
    seed: Long,
) {
    private val random = Random(seed)
    private val runCounts = RunCounts()
    private val agents =
        List(AGENTS) { SimulatedAgent(HostId("host-$it"), random.nextLong(-50_000, 50_000), runCounts) }
    private val router = Router(EntryId("entry"), FailureDomainName("port"))
    private val policy = RequestPolicy(router, RetryBudget(), LoadShedder())
    private val entry = EntryRequests(random) { policy }
    private val connected = HashSet<AgentIdentity>()
    private val messages = ArrayList<Message>()
    private val submitted = LinkedHashMap<RequestId, RequestDescription>()
    private val outcomes = HashMap<RequestId, RequestOutcome>()
    private var now = Timestamp(0)

    /** Runs [steps] events, waits for all requests to end, and returns the outcomes. */
    fun run(steps: Int): Collection<RequestOutcome> {
        agents.forEach { connect(it) }
        repeat(steps) { step() }
        advance(DEADLINE_MILLIS + 1)
        repeat(steps) {
            deliverOne()
            agents.forEach { agent -> agent.startNext(now) }
        }
        check(outcomes.keys == submitted.keys) { "G5: no outcome for ${submitted.keys - outcomes.keys}" }
        submitted.keys.forEach { verify(it) }
        return outcomes.values
    }

    /** Events with their weights. They include every fault that the design lists. */
    private val events: List<(SimulatedAgent) -> Unit> =
        weighted(
            12 to { _ -> submit() },
            33 to { _ -> deliverOne() },
            4 to { _ -> messages.randomOrNull(random)?.let { messages.remove(it) } },
            5 to { _ -> messages.randomOrNull(random)?.let { messages.add(it) } },
            3 to { _ -> misattributeOne() },
            12 to { agent -> agent.startNext(now)?.let { answer(agent, it) } },
            12 to { agent -> agent.finishNext(isMalformed = random.nextInt(8) == 0)?.let { answer(agent, it) } },
            4 to ::disconnect,
            4 to ::connect,
            5 to ::heartbeat,
            1 to SimulatedAgent::restart,
            1 to { agent -> if (random.nextInt(3) == 0) agent.drain() },
            4 to { _ -> advance(random.nextLong(ADVANCE_MILLIS)) },
        )

    private fun step() {
        events.random(random)(agents.random(random))
        submitted.values.filterNot { it.idempotent }.forEach { verify(it.requestId) }
    }

    private fun submit() {
        val request =
            RequestDescription(
                requestId = RequestId("request-${submitted.size}"),
                service = ServiceName("orders"),
                idempotent = random.nextBoolean(),
                deadline = now.plusMillis(random.nextLong(1, DEADLINE_MILLIS)),
            )
        submitted[request.requestId] = request
        act(entry.submit(request, now))
    }

    private fun deliverOne() {
        if (messages.isNotEmpty()) {
            deliver(messages.removeAt(random.nextInt(messages.size)))
        }
    }

    private fun deliver(message: Message) {
        when (message) {
            is Message.Dispatch ->
                process(message.to)?.let { agent ->
                    agent
                        .receive(message.wireId, message.deadline, now, isFull = random.nextInt(6) == 0)
                        ?.let { answer(agent, message.wireId to it) }
                }
            is Message.Inquire ->
                process(message.to)?.let { agent ->
                    messages.add(Message.InquiryAnswer(message.to, agent.inquire(message.inquiries, now)))
                }
            is Message.Answer -> act(entry.answered(message.wireId, message.from, message.outcome, now))
            is Message.InquiryAnswer -> act(entry.inquiryAnswered(message.from, message.results, now))
            is Message.Heartbeat ->
                if (message.report.agent in connected) {
                    entry.heartbeat(message.report.agent, AgentClock(message.reading, handledAt = now))
                    router.reported(message.report)
                }
        }
    }

    private fun process(identity: AgentIdentity): SimulatedAgent? = agents.find { it.identity == identity }

    /** Sends a copy of an answer with the identifier of an attempt at another agent. */
    private fun misattributeOne() {
        val answer = messages.filterIsInstance<Message.Answer>().randomOrNull(random) ?: return
        val other = messages.filterIsInstance<Message.Dispatch>().filter { it.to != answer.from }.randomOrNull(random)
        other?.let { messages.add(answer.copy(wireId = it.wireId)) }
    }

    private fun connect(agent: SimulatedAgent) {
        if (connected.add(agent.identity)) {
            act(entry.connected(agent.identity, now))
            heartbeat(agent)
        }
    }

    private fun disconnect(agent: SimulatedAgent) {
        connected.filter { it.host == agent.identity.host }.forEach {
            connected.remove(it)
            router.gone(it.host)
            act(entry.connectionLost(it, now))
        }
    }

    private fun heartbeat(agent: SimulatedAgent) {
        messages.add(Message.Heartbeat(agent.clock(now), agent.report()))
    }

    private fun answer(
        agent: SimulatedAgent,
        answer: Pair<RequestId, RequestOutcome>,
    ) {
        messages.add(Message.Answer(agent.identity, answer.first, answer.second))
    }

    private fun advance(millis: Long) {
        now = now.plusMillis(millis)
        act(entry.timeReached(now))
        agents.forEach { agent -> agent.expire(now).forEach { answer(agent, it) } }
    }

    private fun act(actions: List<EntryAction>) =
        actions.forEach { action ->
            when (action) {
                is EntryAction.Dispatch ->
                    messages.add(Message.Dispatch(action.agent, action.attempt.wireId, action.deadlineAgentClock))
                is EntryAction.Inquire -> messages.add(Message.Inquire(action.agent, action.inquiries))
                is EntryAction.Answer -> answered(action)
            }
        }

    private fun answered(action: EntryAction.Answer) {
        check(outcomes.put(action.requestId, action.outcome) == null) { "G5: two outcomes for ${action.requestId}" }
        verify(action.requestId)
    }

    private fun verify(requestId: RequestId) {
        val request = submitted.getValue(requestId)
        val runs = runCounts.runsOf(requestId)
        check(request.idempotent || runs <= 1) { "G7: ${requestId.value} ran $runs times" }
        when (val outcome = outcomes[requestId]) {
            is RequestOutcome.NotRun -> check(runs == 0) { "G6: ${requestId.value} ran in spite of $outcome" }
            is RequestOutcome.Ran -> {
                check(outcome.answer == answerTo(requestId)) { "G5: ${requestId.value} got ${outcome.answer}" }
                check(runs >= 1) { "G5: ${requestId.value} got an answer without a run" }
            }
            is RequestOutcome.Unknown, null -> Unit
        }
    }

    private companion object {
        private const val AGENTS = 4
        private const val DEADLINE_MILLIS = 12_000L
        private const val ADVANCE_MILLIS = 1_500L
    }
}

private fun weighted(vararg events: Pair<Int, (SimulatedAgent) -> Unit>): List<(SimulatedAgent) -> Unit> =
    events.flatMap { (weight, event) -> List(weight) { event } }
