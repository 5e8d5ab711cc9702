/*
 * Models an executor. It may fall silent, lose answers, carry out calls late, crash and come back under its old name or
 * a new one, with a clock that starts anew. A call reaches the incarnation that it is for or nothing.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import kotlin.random.Random

/** A call to one incarnation of an executor under the epoch of a leader. */
internal sealed class ExecutorCall {
    abstract val incarnation: HostIncarnation
    abstract val epoch: Int

    data class Start(
        override val incarnation: HostIncarnation,
        override val epoch: Int,
        val run: TaskRun,
        val leaseUntil: Long,
    ) : ExecutorCall()

    data class Stop(
        override val incarnation: HostIncarnation,
        override val epoch: Int,
        val run: TaskRun,
    ) : ExecutorCall()

    data class Poll(
        override val incarnation: HostIncarnation,
        override val epoch: Int,
        val leaseUntil: Long?,
        val acknowledgedEnds: Long,
    ) : ExecutorCall()
}

/** An answer of an executor. */
internal sealed class ExecutorAnswer {
    data class Started(
        val outcome: StartOutcome,
    ) : ExecutorAnswer()

    data object Stopped : ExecutorAnswer()

    data class Polled(
        val clock: Long,
        val running: List<RunStatus>,
        val ends: List<RunEnd>,
    ) : ExecutorAnswer()

    /** The fencing token of the call is too low. */
    data object Fenced : ExecutorAnswer()
}

/** What the executor of one host says of itself. */
internal data class Announcement(
    val description: HostDescription,
    val sequence: Long,
    val isDeregistration: Boolean = false,
)

/** Collects what happens to tasks and hosts, to explain a violation. */
internal interface EventLog {
    /** Notes an event of [task], or of all tasks; [text] is called only if a violation is explained. */
    fun log(
        task: TaskKey?,
        text: () -> String,
    )
}

/** Watches starts, and ends that are acknowledged. */
internal interface ExecutorObserver : EventLog {
    fun onStart(
        executor: ExecutorModel,
        run: TaskRun,
    )

    fun onAcknowledged(task: TaskKey)
}

/** The executor of one host. [checksCapacity] is false for one that starts whatever it is told to. */
internal class ExecutorModel(
    val name: String,
    private val checksCapacity: Boolean,
    private val random: Random,
    private val observer: ExecutorObserver,
) {
    val slots = 8
    var incarnation = HostIncarnation(HostId(name), ExecutorName(name), 1)
        private set
    var isUp = true
        private set
    var silentUntil = 0L
    var lossyUntil = 0L
    var lateUntil = 0L
    val announcements = ArrayList<Pair<Long, Announcement>>()
    private var now = 0L
    private var bornAt = 0L
    private var speedPercent = 98L
    private var upAgainAt = 0L
    private var keepsName = true
    private var sequence = 0L
    private var nextHeartbeatAt = 0L
    private var isDraining = false
    private var deregistersAt = Long.MAX_VALUE
    private var endsAt = Long.MAX_VALUE
    private var leaseUntil = 0L
    private var fence = 0
    private var acknowledged = 0L
    private var lastEnd = 0L
    private var endsBeforeExpiry = 0L
    private val running = LinkedHashMap<TaskKey, RunModel>()
    private val highestRuns = HashMap<TaskKey, Int>()
    private val ends = ArrayList<RunEnd>()
    private val calls = ArrayList<PendingCall>()

    private val clock: Long
        get() = (now - bornAt) * speedPercent / 100

    val runningCount: Int
        get() = running.size

    fun isRunning(task: TaskKey): Boolean = isUp && task in running && clock < leaseUntil

    /** Sends [call]. [onAnswer] is called with the answer unless it is lost. */
    fun call(
        call: ExecutorCall,
        onAnswer: (ExecutorAnswer) -> Unit,
    ) {
        val isLate = now < lateUntil && random.nextInt(3) == 0
        val delay = if (isLate) random.nextLong(500, 9_000) else random.nextLong(0, 60)
        calls += PendingCall(now + delay, call, onAnswer.takeIf { !isLate })
    }

    fun crash(
        downMillis: Long,
        keepsName: Boolean,
    ) {
        if (!isUp) return
        val lost = incarnation
        observer.log(null) { "$lost goes down" }
        isUp = false
        upAgainAt = now + downMillis
        this.keepsName = keepsName
        running.clear()
        calls.clear()
    }

    fun drain() {
        if (!isUp || isDraining) return
        isDraining = true
        nextHeartbeatAt = now
        deregistersAt = now + random.nextLong(1_500, 4_000)
    }

    fun advance(millis: Long) {
        now = millis
        if (!isUp && now >= upAgainAt) comeBack()
        if (!isUp) return
        if (clock >= leaseUntil) expire()
        running.values.filter { it.endsAt <= now }.forEach { end(it.run, RunOutcome.DONE) }
        running.values.filter { (it.stopsAt ?: Long.MAX_VALUE) <= now }.forEach { end(it.run, RunOutcome.STOPPED) }
        if (now >= silentUntil) takeCalls()
        if (now >= nextHeartbeatAt) announce(isDeregistration = false)
        if (now >= deregistersAt) {
            deregistersAt = Long.MAX_VALUE
            announce(isDeregistration = true)
            endsAt = now + random.nextLong(0, 4_000)
        }
        if (now >= endsAt) crash(downMillis = 3_000, keepsName = random.nextBoolean())
    }

    private fun comeBack() {
        isUp = true
        bornAt = now
        speedPercent = random.nextLong(98, 101)
        val executor = if (keepsName) incarnation.executor else ExecutorName("$name-$now")
        incarnation = incarnation.copy(executor = executor, startedAtEpochMillis = now)
        highestRuns.clear()
        ends.clear()
        fence = 0
        acknowledged = 0
        lastEnd = 0
        endsBeforeExpiry = 0
        leaseUntil = 0
        sequence = 0
        isDraining = false
        deregistersAt = Long.MAX_VALUE
        endsAt = Long.MAX_VALUE
        nextHeartbeatAt = now
        silentUntil = 0
    }

    private fun announce(isDeregistration: Boolean) {
        sequence += 1
        nextHeartbeatAt = now + 1_500
        val delay = if (now < lateUntil) random.nextLong(0, 5_000) else random.nextLong(0, 100)
        val capacity = Resources(milliCores = slots * 1_000L, memoryMegabytes = 64_000)
        val description = description(incarnation, capacity = capacity).copy(isDraining = isDraining)
        announcements += now + delay to Announcement(description, sequence, isDeregistration)
    }

    private fun expire() {
        running.values.toList().forEach { end(it.run, RunOutcome.LAPSED) }
        endsBeforeExpiry = lastEnd
    }

    private fun takeCalls() {
        val due = calls.filter { it.at <= now }
        calls.removeAll(due.toSet())
        due.shuffled(random).filter { it.call.incarnation == incarnation }.forEach { pending ->
            val answer = execute(pending.call)
            if (pending.call !is ExecutorCall.Poll) {
                val task = (pending.call as? ExecutorCall.Start)?.run ?: (pending.call as? ExecutorCall.Stop)?.run
                observer.log(task?.task) { "$name: ${pending.call} -> $answer" }
            }
            val isLost = now < lossyUntil && random.nextBoolean()
            if (!isLost) pending.onAnswer?.invoke(answer)
        }
    }

    private fun execute(call: ExecutorCall): ExecutorAnswer {
        if (call.epoch < fence) {
            return if (call is ExecutorCall.Start) {
                ExecutorAnswer.Started(StartOutcome.FENCED)
            } else {
                ExecutorAnswer.Fenced
            }
        }
        fence = call.epoch
        return when (call) {
            is ExecutorCall.Start -> ExecutorAnswer.Started(start(call))
            is ExecutorCall.Stop -> stop(call.run)
            is ExecutorCall.Poll -> poll(call)
        }
    }

    private fun start(call: ExecutorCall.Start): StartOutcome {
        val run = call.run
        if (clock >= call.leaseUntil) return StartOutcome.LATE
        extendLease(call.leaseUntil)
        return when {
            running[run.task]?.run == run -> StartOutcome.STARTED
            run.number <= (highestRuns[run.task] ?: 0) -> StartOutcome.SUPERSEDED
            checksCapacity && running.size >= slots -> StartOutcome.NO_ROOM
            else -> {
                observer.onStart(this, run)
                running[run.task] = RunModel(run, now + random.nextLong(100, 2_500))
                StartOutcome.STARTED
            }
        }
    }

    private fun stop(run: TaskRun): ExecutorAnswer {
        highestRuns.merge(run.task, run.number, ::maxOf)
        running[run.task]?.takeIf { it.run == run }?.let { it.stopsAt = it.stopsAt ?: (now + random.nextLong(900)) }
        return ExecutorAnswer.Stopped
    }

    private fun poll(call: ExecutorCall.Poll): ExecutorAnswer {
        call.leaseUntil?.let { extendLease(it) }
        acknowledged = maxOf(acknowledged, call.acknowledgedEnds)
        val forgotten = ends.filter { it.number <= acknowledged }
        ends.removeAll(forgotten.toSet())
        forgotten
            .filter { it.outcome == RunOutcome.DONE && it.number > endsBeforeExpiry }
            .forEach { observer.onAcknowledged(it.run.task) }
        return ExecutorAnswer.Polled(clock, running.values.map { running(it.run) }, ends.toList())
    }

    private fun extendLease(until: Long) {
        leaseUntil = maxOf(leaseUntil, minOf(until, clock + HOLD_MILLIS_MAXIMUM))
    }

    private fun end(
        run: TaskRun,
        outcome: RunOutcome,
    ) {
        running.remove(run.task)
        highestRuns.merge(run.task, run.number, ::maxOf)
        lastEnd += 1
        val number = lastEnd
        observer.log(run.task) { "$name: run ${run.number} ends $outcome as end $number" }
        ends += RunEnd(lastEnd, run, outcome, "")
    }

    private class RunModel(
        val run: TaskRun,
        val endsAt: Long,
    ) {
        var stopsAt: Long? = null
    }

    private data class PendingCall(
        val at: Long,
        val call: ExecutorCall,
        val onAnswer: ((ExecutorAnswer) -> Unit)?,
    )

    private companion object {
        private const val HOLD_MILLIS_MAXIMUM = 10_000L
    }
}
