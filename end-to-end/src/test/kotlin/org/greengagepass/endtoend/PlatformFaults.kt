/*
 * Series of faults from a seed, in a thread for each executor, each agent, all entries and the store, so that they
 * overlap. All is repaired in the end.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.Disturbance
import org.greengagepass.platform.standin.ExecutorCall
import org.greengagepass.platform.standin.ExecutorLimits
import org.greengagepass.platform.standin.ExecutorStandIn
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.random.nextLong

/** What befalls executors, beside the faults of processes and the store. */
enum class ExecutorFaults {
    /** Crashes, lost and late calls, draining and changed capacities. */
    ALL,

    /** The same, and an executor that drains gets no acknowledgement of its deregistration. */
    LOST_DEREGISTRATIONS,

    /** Commands are reset, left without an answer, carried out late, or their answers are lost. */
    FAILED_COMMANDS,
}

/** Injects faults into [deployment], with [executorFaults] at the executors. */
class PlatformFaults(
    private val deployment: PlatformDeployment,
    private val seed: Long,
    private val executorFaults: ExecutorFaults,
) {
    private var deadlineNanos = 0L

    /** Injects faults for [millis], and returns when all is repaired. */
    fun run(millis: Long) {
        deadlineNanos = System.nanoTime() + millis * NANOS_PER_MILLI
        val series =
            deployment.hosts.map { host -> { random: Random -> executorFault(host.executor, random) } } +
                deployment.hosts.map { host ->
                    { random: Random -> processFault(host.name, random) { deployment.startAgent(host) } }
                } +
                { random: Random ->
                    val entry = deployment.entries.random(random)
                    processFault(entry.name, random) { deployment.startEntry(entry) }
                } +
                { random: Random -> storeFault(random) }
        val threads = Executors.newFixedThreadPool(series.size)
        try {
            threads
                .invokeAll(
                    series.mapIndexed {
                        index,
                        fault,
                        ->
                        Callable { repeat(Random(seed * SERIES + index), fault) }
                    },
                ).forEach { it.get() }
        } finally {
            threads.shutdownNow()
        }
    }

    private fun repeat(
        random: Random,
        fault: (Random) -> Unit,
    ) {
        pause(random, 200L..4_000L)
        while (System.nanoTime() < deadlineNanos) {
            fault(random)
            pause(random, 1_000L..5_000L)
        }
    }

    private fun executorFault(
        executor: ExecutorStandIn,
        random: Random,
    ) {
        if (executorFaults == ExecutorFaults.FAILED_COMMANDS) return commandFault(executor, random)
        when (random.nextInt(EXECUTOR_FAULTS)) {
            0 -> executor.crash()
            1 -> executor.crashSilently()
            2 -> disturb(executor, random) { Disturbance.LostAnswer }
            3 -> disturb(executor, random) { Disturbance.CarriedOutLater(random.nextLong(200L..4_000L)) }
            4, 5 -> executor.drain(executorFaults == ExecutorFaults.LOST_DEREGISTRATIONS)
            6 -> {
                executor.resize(SMALL_CAPACITY_CPU)
                pause(random, 1_000L..4_000L)
                executor.resize(ExecutorLimits().capacityCpu)
            }
            else -> crashAtStart(executor, random)
        }
        if (!executor.isUp) startAgain(executor, random)
    }

    /** Most commands fail in one way for up to 6 s, longer than a job may take to be cancelled. */
    private fun commandFault(
        executor: ExecutorStandIn,
        random: Random,
    ) {
        val played: () -> Disturbance =
            when (random.nextInt(COMMAND_FAULTS)) {
                0 -> { -> Disturbance.NoAnswer }
                1 -> { -> Disturbance.Reset }
                2 -> { -> Disturbance.LostAnswer }
                else -> { -> Disturbance.CarriedOutLater(random.nextLong(2_000L..9_000L)) }
            }
        val draws = Random(random.nextLong())
        executor.disturbance = { call ->
            val isCommand = call == ExecutorCall.START || call == ExecutorCall.STOP
            synchronized(draws) {
                if (isCommand && draws.nextInt(ANSWERED_ONE_IN) != 0) played() else Disturbance.None
            }
        }
        pause(random, 1_000L..6_000L)
        executor.disturbance = { Disturbance.None }
    }

    private fun startAgain(
        executor: ExecutorStandIn,
        random: Random,
    ) {
        pause(random, 100L..9_000L)
        val limits = ExecutorLimits(clockRate = if (random.nextBoolean()) SLOW_CLOCK_RATE else 1.0)
        val firstHeartbeatMillis = random.nextLong(0L..600L)
        if (random.nextInt(NEW_IDENTIFIER_ONE_IN) == 0) {
            executor.start(limits, firstHeartbeatMillis)
        } else {
            executor.restart(limits, firstHeartbeatMillis)
        }
    }

    /** Disturbs some of the calls for some seconds. */
    private fun disturb(
        executor: ExecutorStandIn,
        random: Random,
        played: () -> Disturbance,
    ) {
        val draws = Random(random.nextLong())
        executor.disturbance = { call ->
            synchronized(draws) {
                if (call != ExecutorCall.PACE && draws.nextBoolean()) played() else Disturbance.None
            }
        }
        pause(random, 500L..4_000L)
        executor.disturbance = { Disturbance.None }
    }

    private fun crashAtStart(
        executor: ExecutorStandIn,
        random: Random,
    ) {
        executor.disturbance = { if (it == ExecutorCall.START) Disturbance.SilentCrash else Disturbance.None }
        pause(random, 500L..2_000L)
        executor.disturbance = { Disturbance.None }
    }

    private fun processFault(
        name: String,
        random: Random,
        start: () -> Unit,
    ) {
        when (random.nextInt(PROCESS_FAULTS)) {
            0 -> deployment.kill(name)
            1 -> deployment.terminate(name)
            else -> {
                deployment.pause(name)
                pause(random, 200L..7_000L)
                deployment.resume(name)
                return
            }
        }
        pause(random, 0L..2_000L)
        start()
    }

    private fun storeFault(random: Random) {
        if (random.nextBoolean()) {
            deployment.store.answersToLose = random.nextInt(1, ANSWERS_LOST_MAXIMUM)
        } else {
            deployment.history.note("the store is unavailable")
            deployment.store.isUnavailable = true
            pause(random, 100L..2_000L)
            deployment.store.isUnavailable = false
            deployment.history.note("the store is available")
        }
    }

    private fun pause(
        random: Random,
        millis: LongRange,
    ): Unit = Thread.sleep(random.nextLong(millis))

    private companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val SERIES = 1_000
        private const val EXECUTOR_FAULTS = 8
        private const val COMMAND_FAULTS = 4
        private const val ANSWERED_ONE_IN = 10
        private const val PROCESS_FAULTS = 4
        private const val ANSWERS_LOST_MAXIMUM = 4
        private const val NEW_IDENTIFIER_ONE_IN = 3
        private const val SMALL_CAPACITY_CPU = 1_000L

        /** The slowest clock that the platform allows. */
        private const val SLOW_CLOCK_RATE = 0.98
    }
}
