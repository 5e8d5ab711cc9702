/*
 * The single authority for the capacity of a host. It admits a start only if the enforced limits of everything that
 * runs or may run on the worker, plus the reserve for the upstreams, fit the host. Only a refused call or a snapshot of
 * the worker shows what became of a start; until one is conclusive the start keeps its capacity.
 */
package org.greengagepass.core.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** Why a start or a request was not admitted. Nothing ran. */
public data class AdmissionRefusal(
    val code: ResultCode,
    val detail: String,
)

/** A start requested by the owner of the partition. */
public data class StartRequest(
    val epoch: Epoch,
    val taskId: TaskId,
    val token: FencingToken,
    val limit: Resources,
    val startDeadlineWorkerClock: Timestamp,
)

/** The decision on a start that was not refused. */
public sealed class StartAdmission {
    /** The capacity is committed; the start may be sent to the worker. */
    public data object Admitted : StartAdmission()

    /** This token was admitted before. Nothing may be sent; the events of the attempt report its outcome. */
    public data object AlreadyAdmitted : StartAdmission()
}

/** The outcome of a call that starts an attempt on the worker. */
public sealed class StartAnswer {
    /** The worker accepted the start. */
    public data object Accepted : StartAnswer()

    /** No answer arrived, so the start may have taken effect or may do so until its deadline. */
    public data object Lost : StartAnswer()

    /** The worker refused the call. */
    public data class Refused(
        val refusal: AdmissionRefusal,
    ) : StartAnswer()
}

/** An attempt in a snapshot of the worker. [holdsCapacity] is false once it has ended. */
public data class ReportedAttempt(
    val taskId: TaskId,
    val token: FencingToken,
    val limit: Resources,
    val holdsCapacity: Boolean,
)

/** The attempts that the worker holds at [clock], a reading of its own clock. */
public data class WorkerSnapshot(
    val clock: Timestamp,
    val capacity: Resources,
    val attempts: List<ReportedAttempt>,
)

/**
 * Admission to one host. [reserve] is kept for the upstreams on the host. An instance lasts for one incarnation of the
 * agent and of the worker: when the worker restarts, and with it its clock, a new instance is needed.
 */
public class HostAdmission(
    private val reserve: Resources,
    decisionsMaximum: Int = DECISIONS_MAXIMUM,
) {
    private val handled = HandledAttempts(decisionsMaximum)
    private val committed = LinkedHashMap<FencingToken, Commitment>()
    private var draining = false
    private var newestSnapshot: WorkerSnapshot? = null

    /** Admission of requests to the upstreams on the host. */
    public val requests: RequestAdmission = RequestAdmission()

    /** Highest epoch seen by [admit] or [checkEpoch]. */
    public var highestEpoch: Epoch = Epoch.NONE
        private set

    /** True once a snapshot of the worker has been applied. */
    public val isReady: Boolean
        get() = newestSnapshot != null

    /** Sum of the limits of all attempts that run or may run. */
    public val committedLimits: Resources
        get() = committed.values.fold(Resources.NONE) { sum, commitment -> sum + commitment.limit }

    /** What a further start may use; negative if the worker holds more than the host can. */
    public val free: Resources
        get() = newestSnapshot?.let { it.capacity - reserve - committedLimits } ?: Resources.NONE

    /** Refuses an epoch lower than the highest one seen; for grants and commands without starts. */
    public fun checkEpoch(epoch: Epoch): Either<AdmissionRefusal, Unit> {
        if (epoch < highestEpoch) {
            val detail = "epoch ${epoch.value} has ended, epoch ${highestEpoch.value} was seen"
            return AdmissionRefusal(ResultCode.NOT_OWNER, detail).left()
        }
        highestEpoch = epoch
        return Unit.right()
    }

    /**
     * Decides on [request]. The first decision on a token is final: a repeated start that was refused is refused again,
     * because its owner may already have acted on the refusal.
     */
    public fun admit(request: StartRequest): Either<AdmissionRefusal, StartAdmission> {
        val earlier = handled.decisionOn(request.token)
        if (earlier != null) {
            return earlier.refusal?.left() ?: StartAdmission.AlreadyAdmitted.right()
        }
        val refusal = refusalOf(request)
        handled.add(HandledAttempt(request.taskId, request.token, refusal), committed.keys)
        return refusal?.left() ?: commit(request).right()
    }

    /**
     * Handles the worker's [answer] to one call that starts [token]. Returns true if it proves that the attempt does
     * not run. A refusal after a lost or accepted call proves nothing: the earlier call may have taken effect.
     */
    public fun startAnswered(
        token: FencingToken,
        answer: StartAnswer,
    ): Boolean {
        val commitment = committed[token]?.takeUnless { it.mayRun } ?: return false
        if (answer is StartAnswer.Refused) {
            committed.remove(token)
            handled.add(HandledAttempt(commitment.taskId, token, answer.refusal), committed.keys)
        } else {
            commitment.mayRun = true
        }
        return answer is StartAnswer.Refused
    }

    /**
     * Applies [snapshot] of the worker. Returns false and changes nothing if a later one was applied. A commitment that
     * the snapshot does not list is dropped only if the worker can no longer start it.
     */
    public fun apply(snapshot: WorkerSnapshot): Boolean {
        val newest = newestSnapshot
        if (newest != null && snapshot.clock < newest.clock) return false
        newestSnapshot = snapshot
        val listed = snapshot.attempts.mapTo(HashSet()) { it.token }
        committed.entries.removeIf { (token, commitment) ->
            token in listed || snapshot.clock > commitment.mayAppearUntil
        }
        snapshot.attempts.filter { it.holdsCapacity }.forEach { attempt ->
            committed[attempt.token] =
                Commitment(attempt.taskId, attempt.limit, mayAppearUntil = snapshot.clock, mayRun = true)
        }
        snapshot.attempts.forEach { handled.add(HandledAttempt(it.taskId, it.token), committed.keys) }
        return true
    }

    /** Stops admitting starts and requests, because the agent is stopping. */
    public fun drain() {
        draining = true
        requests.drain()
    }

    private fun commit(request: StartRequest): StartAdmission {
        committed[request.token] =
            Commitment(request.taskId, request.limit, mayAppearUntil = request.startDeadlineWorkerClock)
        return StartAdmission.Admitted
    }

    private fun refusalOf(request: StartRequest): AdmissionRefusal? =
        checkEpoch(request.epoch).leftOrNull()
            ?: refusalOfHost(request)
            ?: refusalOfToken(request)
            ?: refusalOfSize(request.limit, free)

    private fun refusalOfHost(request: StartRequest): AdmissionRefusal? {
        val snapshot = newestSnapshot
        return when {
            draining -> AdmissionRefusal(ResultCode.DRAINING, "the agent is stopping")
            snapshot == null -> AdmissionRefusal(ResultCode.HOST_FULL, "the worker has not reported what runs yet")
            request.startDeadlineWorkerClock < snapshot.clock ->
                AdmissionRefusal(ResultCode.STALE_PERMISSION, "the deadline of the start has passed")
            else -> null
        }
    }

    private fun refusalOfToken(request: StartRequest): AdmissionRefusal? =
        when {
            handled.isOutdated(request.taskId, request.token) ->
                AdmissionRefusal(ResultCode.STALE_PERMISSION, "a later attempt of the task is known")
            committed.values.any { it.taskId == request.taskId } ->
                AdmissionRefusal(ResultCode.HOST_FULL, "an earlier attempt of the task may still run on this host")
            else -> null
        }

    /** Capacity that an attempt holds until a snapshot later than [mayAppearUntil] does not list it. */
    private class Commitment(
        val taskId: TaskId,
        val limit: Resources,
        val mayAppearUntil: Timestamp,
        var mayRun: Boolean = false,
    )

    public companion object {
        /** Decisions that are kept: several hours of starts on a busy host. */
        public const val DECISIONS_MAXIMUM: Int = 4_096
    }
}

private fun refusalOfSize(
    limit: Resources,
    free: Resources,
): AdmissionRefusal? =
    when {
        !Resources.NONE.fitsIn(limit) || limit == Resources.NONE ->
            AdmissionRefusal(ResultCode.INVALID_VALUE, "the limit must be positive: $limit")
        !limit.fitsIn(free) -> AdmissionRefusal(ResultCode.HOST_FULL, "limit $limit exceeds the free capacity $free")
        else -> null
    }
