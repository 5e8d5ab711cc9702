/*
 * What is known of executors that crashed while a task was on them. It is stored with the task, so that it outlives
 * leaders, agents and executors.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable

/** Crashes of executors that held one task. */
@Serializable
internal data class CrashHistory(
    /** Crashes shortly after a start of the task, since it last survived a trial. */
    val suspicions: Int = 0,
    /** Crashes after any time, since the task last ran for longer than before them. */
    val losses: Int = 0,
    /** Longest time that the task had been on an executor at one of the [losses]. */
    val longestAgeMillis: Long = 0,
    /** True if a crash shortly after a start was put down to a common cause. It is done once for each task. */
    val isExcused: Boolean = false,
    /** Leases that expired shortly after a start of the task, while the executor did not answer. */
    val unresolvedLapses: Int = 0,
    /** Highest run number whose crash is counted. Agents report each crash several times. */
    val countedRun: Int = 0,
) {
    /** True if the task is to run apart from other tasks whose effect on their executor is not known either. */
    val isSuspect: Boolean
        get() = suspicions > 0 || unresolvedLapses > 0 || isRecurring

    /** True if the executors of several runs are gone, and not all of them are known to have crashed. */
    val needsResolution: Boolean
        get() = suspicions + unresolvedLapses > 1

    /** How long a run has to last to show that the task does not crash its executor. */
    val trialMillis: Long
        get() = if (isRecurring) recurringTrialMillis else TRIAL_MILLIS

    /** True if the users' limit for starts after crashes is reached, and some of the crashes speak against the task. */
    val isExhausted: Boolean
        get() = losses >= LOSSES_MAXIMUM && suspicions >= 2

    /**
     * True if that limit is reached and the task had just started at each crash but the one that may be excused. Other
     * tasks are at the starts of a task that crashes its executors too, but rarely at that many.
     */
    val isExhaustedAtStarts: Boolean
        get() = losses >= LOSSES_MAXIMUM && suspicions >= losses - 1

    private val isRecurring: Boolean
        get() = losses >= RECURRING_LOSSES

    private val recurringTrialMillis: Long
        get() = (longestAgeMillis * RECURRING_TRIAL_FACTOR).coerceIn(TRIAL_MILLIS, TRIAL_MILLIS_MAXIMUM)

    /** The history after a crash of the executor that held [run] for [ageMillis]. */
    fun withCrash(
        run: TaskRun,
        ageMillis: Long,
    ): CrashHistory =
        CrashHistory(
            suspicions = if (ageMillis < trialMillis) suspicions + 1 else suspicions,
            losses = losses + 1,
            longestAgeMillis = maxOf(longestAgeMillis, ageMillis),
            isExcused = isExcused,
            countedRun = run.number,
        )

    /**
     * The history after a crash that has a common cause. A task that had just started at two crashes is a suspect
     * whatever else happened, since several tasks that crash their executors look like a common cause.
     */
    fun withCommonCause(
        run: TaskRun,
        ageMillis: Long,
    ): CrashHistory {
        val counted = withCrash(run, ageMillis)
        val mayExcuse = counted.suspicions > suspicions && !isExcused && !isSuspect
        return if (mayExcuse) counted.copy(suspicions = suspicions, isExcused = true) else counted
    }

    /** The history after a run that has ended by itself. */
    fun cleared(): CrashHistory = CrashHistory(countedRun = countedRun)

    /** The history after a run that has lasted for [millis] without a crash. */
    fun afterSurviving(millis: Long): CrashHistory =
        when {
            millis >= maxOf(recurringTrialMillis, LONG_MILLIS) -> cleared()
            millis >= trialMillis -> copy(suspicions = 0, unresolvedLapses = 0)
            else -> this
        }

    companion object {
        /** Few tasks run for longer before they crash their executor. */
        const val LONG_MILLIS = 3_000L

        /** Covers the report of a run that has just started, and separates the last starts from earlier ones. */
        private const val TRIAL_MILLIS = 500L

        /** A task that crashes its executors late is never among the last starts; three losses are rarely chance. */
        private const val RECURRING_LOSSES = 3

        /** After three crashes a task is started at most twice. */
        private const val LOSSES_MAXIMUM = 5
        private const val RECURRING_TRIAL_FACTOR = 2
        private const val TRIAL_MILLIS_MAXIMUM = 10_000L
    }
}
