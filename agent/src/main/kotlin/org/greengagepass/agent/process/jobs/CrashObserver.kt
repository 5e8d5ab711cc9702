/*
 * Passes calls on to the executor and notes which runs it holds, or may hold, since when. If the executor crashes, the
 * notes show which runs were there and which of them had only just started. Confined to the agent's dispatcher.
 */
package org.greengagepass.agent.process.jobs

import arrow.core.Either
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.process.jobs.ExecutorCrash
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.RunAtCrash
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.ExecutorSnapshot

/** Observes the calls to [executor]. */
internal class CrashObserver(
    private val executor: ExecutorClient,
    private val clock: () -> Long,
    private val epochClock: () -> Long = System::currentTimeMillis,
) : ExecutorClient by executor {
    /** The latest crashes, oldest first. */
    var crashes: List<ExecutorCrash> = emptyList()
        private set

    private val runs = HashMap<TaskRun, ObservedRun>()
    private var pollNumber = 0L
    private var silentSince: Long? = null

    override suspend fun start(
        context: ExecutorCallContext,
        command: StartCommand,
    ): Either<ExecutorFailure, StartOutcome> {
        val observed = runs.getOrPut(command.run) { ObservedRun(startedAt = clock()) }
        val result = executor.start(context, command)
        result.fold(
            { failure ->
                if (failure is ExecutorFailure.NoAnswer) observed.mayHaveStarted = true
                if (!observed.mayHaveStarted) runs.remove(command.run)
            },
            { outcome ->
                if (outcome == StartOutcome.STARTED) observed.mayHaveStarted = true
                if (!observed.mayHaveStarted) runs.remove(command.run) else observed.settledAfterPoll = pollNumber
            },
        )
        return result
    }

    override suspend fun poll(
        context: ExecutorCallContext,
        acknowledgedEnds: Long,
        waitMillis: Long,
    ): Either<ExecutorFailure, ExecutorSnapshot> {
        pollNumber += 1
        val number = pollNumber
        val result = executor.poll(context, acknowledgedEnds, waitMillis)
        result.fold(
            { silentSince = silentSince ?: clock() },
            { snapshot -> if (snapshot.mayBeOf(context.incarnation)) update(snapshot, number) },
        )
        return result
    }

    /**
     * Handles the replacement of the incarnation in [previous] by a later one. Returns true if it was a crash, which is
     * any end that the executor had not announced.
     */
    fun replaced(previous: HostDescription): Boolean {
        if (!previous.isDraining) {
            val crash = crashOf(previous.incarnation)
            crashes = (crashes + crash).takeLast(CRASHES_MAXIMUM)
            logger.warn(
                "the executor of host {} has crashed; runs, with milliseconds since their start: {}",
                previous.incarnation,
                crash.runs.take(RUNS_LOGGED_MAXIMUM).joinToString { "${describe(it.run)} ${crash.ageMillis(it)}" },
            )
        }
        reset()
        return !previous.isDraining
    }

    /** Forgets the runs of an incarnation that has ended as planned. */
    fun reset() {
        runs.clear()
        silentSince = null
    }

    private fun crashOf(incarnation: HostIncarnation): ExecutorCrash {
        val now = clock()
        val crashedAt = silentSince ?: now
        val atCrash =
            runs.entries
                .map { (run, observed) -> RunAtCrash(run, observed.startedAt) }
                .sortedByDescending { it.startedAtAgentClock }
                .take(RUNS_MAXIMUM)
        return ExecutorCrash(incarnation, crashedAt, epochClock() - (now - crashedAt), atCrash)
    }

    private fun describe(run: TaskRun): String =
        run.task.run { "${job.value}.$occurrence.$step.$index" } + " run ${run.number}"

    /** Removes runs that the executor, asked after their start was answered, no longer holds. */
    private fun update(
        snapshot: ExecutorSnapshot,
        number: Long,
    ) {
        silentSince = null
        val listed = snapshot.running.mapTo(HashSet()) { it.run }
        listed.forEach { run ->
            val observed = runs.getOrPut(run) { ObservedRun(startedAt = clock()) }
            observed.mayHaveStarted = true
            observed.settledAfterPoll = minOf(number, observed.settledAfterPoll)
        }
        runs.entries.removeIf { (run, observed) -> run !in listed && observed.settledAfterPoll < number }
    }

    private class ObservedRun(
        val startedAt: Long,
        var mayHaveStarted: Boolean = false,
    ) {
        /** A later poll that does not list the run shows that the executor does not hold it. */
        var settledAfterPoll: Long = Long.MAX_VALUE
    }

    private companion object {
        /** Bounds the report of a crash to some tens of kilobytes. */
        private const val RUNS_MAXIMUM = 200

        /** Covers the crashes that may come while no leader is there to count them. */
        private const val CRASHES_MAXIMUM = 3

        /** Bounds the log line of a crash; the runs with the latest start come first. */
        private const val RUNS_LOGGED_MAXIMUM = 20
        private val logger = LogManager.getLogger("org.greengagepass.agent")
    }
}
