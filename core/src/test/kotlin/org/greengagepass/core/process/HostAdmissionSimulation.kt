/*
 * A worker, its agent and two competing owners, driven by random steps. The worker enforces deadlines, incarnations and
 * unique tokens but no capacity, so that only the admission under test can prevent an overcommitted host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import kotlin.random.Random

private const val START_PERMISSION_MILLIS = 3_000L
private const val EPOCH_MILLIS = 20_000L
private const val TASKS = 40

class HostAdmissionSimulation(
    private val capacity: Resources,
    private val reserve: Resources,
    seed: Long,
) {
    private val random = Random(seed)
    private var clock = 0L
    private var nextToken = 0L
    private var incarnation = 0
    private var admission = HostAdmission(reserve)
    private val running = LinkedHashMap<FencingToken, ReportedAttempt>()
    private val ended = LinkedHashMap<FencingToken, ReportedAttempt>()
    private val startsInFlight = ArrayList<Pair<Int, StartRequest>>()
    private val snapshotsInFlight = ArrayList<Pair<Int, WorkerSnapshot>>()
    private val requestsInFlight = ArrayList<StartRequest>()
    private val startedTokens = HashSet<FencingToken>()

    val overlappingTokens = HashSet<FencingToken>()

    val limitsOnWorker: Resources
        get() = running.values.fold(Resources.NONE) { sum, attempt -> sum + attempt.limit }

    private val steps =
        listOf(
            ::requestStart,
            ::requestStart,
            ::deliverRequest,
            ::deliverRequest,
            ::deliverRequest,
            ::deliverStart,
            ::deliverStart,
            ::takeSnapshot,
            ::deliverSnapshot,
            ::deliverSnapshot,
            ::endAttempt,
            ::forgetEnded,
            ::passTime,
            ::restartAgent,
        )

    fun step() = steps.random(random)()

    private fun requestStart() {
        val limit = Resources(random.nextLong(1, 9_000), random.nextLong(1, 30_000))
        val deadline = Timestamp(clock + START_PERMISSION_MILLIS - random.nextLong(0, 1_000))
        val task = TaskId("task-${random.nextInt(TASKS)}")
        requestsInFlight +=
            StartRequest(
                Epoch(clock / EPOCH_MILLIS + random.nextLong(0, 2)),
                task,
                FencingToken(nextToken++),
                limit,
                deadline,
            )
    }

    private fun deliverRequest() {
        val request = requestsInFlight.randomOrNull(random) ?: return
        if (random.nextInt(3) != 0) requestsInFlight.remove(request)
        if (admission.admit(request).getOrNull() != StartAdmission.Admitted) return
        startsInFlight += incarnation to request
        if (random.nextInt(4) == 0) startsInFlight += incarnation to request
    }

    private fun deliverStart() {
        val sent = startsInFlight.randomOrNull(random) ?: return
        startsInFlight.remove(sent)
        val (sender, request) = sent
        val accepted = sender == incarnation && clock <= request.startDeadlineWorkerClock.millis
        val isRepeat = request.token in startedTokens
        if (accepted && !isRepeat) {
            startedTokens += request.token
            if (running.values.any { it.taskId == request.taskId }) overlappingTokens += request.token
            running[request.token] = ReportedAttempt(request.taskId, request.token, request.limit, true)
        }
        val answer =
            when {
                random.nextBoolean() -> StartAnswer.Lost
                accepted -> StartAnswer.Accepted
                else -> StartAnswer.Refused(AdmissionRefusal(ResultCode.STALE_PERMISSION, "late"))
            }
        if (sender != incarnation) return
        admission.startAnswered(request.token, answer)
        if (answer == StartAnswer.Lost && random.nextBoolean()) startsInFlight += sent
    }

    private fun takeSnapshot() {
        val attempts = running.values + ended.values
        snapshotsInFlight += incarnation to WorkerSnapshot(Timestamp(clock), capacity, attempts)
    }

    private fun deliverSnapshot() {
        val snapshot = snapshotsInFlight.randomOrNull(random) ?: return
        snapshotsInFlight.remove(snapshot)
        if (snapshot.first == incarnation) admission.apply(snapshot.second)
    }

    private fun endAttempt() {
        val token = running.keys.randomOrNull(random) ?: return
        val attempt = running.remove(token) ?: return
        ended[token] = attempt.copy(holdsCapacity = false)
    }

    private fun forgetEnded() {
        ended.keys.randomOrNull(random)?.let { ended.remove(it) }
    }

    private fun passTime() {
        clock += random.nextLong(0, START_PERMISSION_MILLIS)
    }

    private fun restartAgent() {
        if (random.nextInt(4) != 0) return
        incarnation++
        admission = HostAdmission(reserve)
        takeSnapshot()
    }
}
