/*
 * Attributes crashes of executors to tasks. Every task that had only just started on the executor becomes a suspect.
 * Suspects run apart from each other (TrialHosts), so that a second crash has only one job to blame; that job is given
 * up. Tasks that had been on the executor for longer only ran beside the cause. Where suspects can't be kept apart, the
 * number of crashes at the starts of one task decides.
 */
package org.greengagepass.core.process.jobs

/** Attributes the crashes that agents report. */
internal class CrashAttribution(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
    private val suspectRuns: SuspectRuns,
) {
    /** Counts the crashes in [description] that are not counted yet. */
    fun count(
        description: HostDescription,
        moment: Moment,
    ): Unit = description.crashes.forEach { count(it, description, moment) }

    private fun count(
        crash: ExecutorCrash,
        description: HostDescription,
        moment: Moment,
    ) {
        val affected = crash.runs.mapNotNull { affectedTask(it, crash) }
        val uncounted = affected.filter { it.run.number > it.task.crashHistory.countedRun }
        if (uncounted.isEmpty()) return
        val suspects = affected.filter { it.isSuspect }
        val commonCause = commonCause(crash, suspects, description, moment)
        val isAllKnown = suspects.size == crash.runs.count { isYoung(it, crash) }
        val cause = commonCause ?: "${suspects.size} suspects"
        val detail = "${crash.runs.size} runs, $cause"
        state.effects.logDecision(Decision("crash_counted", host = crash.incarnation, detail = detail))
        uncounted.forEach { count(it, crash, isSuspicious = commonCause == null) }
        if (commonCause == null && isAllKnown) judge(suspects, affected - suspects.toSet(), crash, moment)
        giveUpExhausted(uncounted, crash, moment)
    }

    /** Gives up jobs whose tasks have reached the limit for starts, whatever else was on the host of [crash]. */
    private fun giveUpExhausted(
        affected: List<AffectedTask>,
        crash: ExecutorCrash,
        moment: Moment,
    ) = affected
        .filter { it.job.outcome == JobOutcome.ACTIVE && it.task.crashHistory.isExhaustedAtStarts }
        .groupBy { it.job }
        .values
        .forEach { giveUp(it, crash, moment) }

    private fun count(
        affected: AffectedTask,
        crash: ExecutorCrash,
        isSuspicious: Boolean,
    ) {
        val before = affected.task.crashHistory
        val after =
            if (isSuspicious) {
                before.withCrash(affected.run, affected.ageMillis)
            } else {
                before.withCommonCause(affected.run, affected.ageMillis)
            }
        suspectRuns.update(affected.job, affected.task, after)
        affected.task.heldUntil = null
        if (after.suspicions > before.suspicions) {
            val detail = "crash ${after.suspicions}, ${affected.ageMillis} ms after its start"
            state.effects.logDecision(
                Decision("crash_suspected", affected.job.id, affected.run, crash.incarnation, detail),
            )
        }
    }

    /**
     * Gives up the job of [suspects], which are all that had just started, if the evidence suffices. One of [others]
     * that was at an earlier crash too, or had not been there for long, may crash its executors after a while, so then
     * it takes one crash more.
     */
    private fun judge(
        suspects: List<AffectedTask>,
        others: List<AffectedTask>,
        crash: ExecutorCrash,
        moment: Moment,
    ) {
        if (suspects.map { it.job }.distinct().size != 1) return
        val histories = suspects.map { it.task.crashHistory }
        val isDoubtful = others.any { it.task.crashHistory.losses > 1 || it.ageMillis < CrashHistory.LONG_MILLIS }
        val needed = state.outages.suspicionsNeeded(state.hosts.all()) + if (isDoubtful) 1 else 0
        val isCertain = histories.all { it.suspicions >= needed } || histories.any { it.suspicions > needed }
        if (!isCertain && histories.none { it.isExhausted }) return
        giveUp(suspects, crash, moment)
    }

    /** Gives up the job of [suspects]. */
    private fun giveUp(
        suspects: List<AffectedTask>,
        crash: ExecutorCrash,
        moment: Moment,
    ) {
        val first = suspects.first()
        val tasks = suspects.joinToString { "${it.run.task.occurrence}.${it.run.task.step}.${it.run.task.index}" }
        val detail = "executors crash when they start task $tasks"
        state.effects.logDecision(Decision("given_up", first.job.id, first.run, crash.incarnation, detail))
        state.outages.explain(first.job.id)
        transitions.endJob(first.job, JobOutcome.FAILED, moment)
    }

    private fun commonCause(
        crash: ExecutorCrash,
        suspects: List<AffectedTask>,
        description: HostDescription,
        moment: Moment,
    ): String? {
        val elapsedMillis = (moment.epochMillis - crash.crashedAtEpochMillis).coerceAtLeast(0)
        val outage =
            HostOutage(
                incarnation = crash.incarnation,
                rack = description.rack,
                failureDomain = description.failureDomain,
                beganAt = moment.now.plusMillis(-elapsedMillis),
                jobs = crash.runs.mapTo(HashSet()) { it.run.task.job },
                isExplained = suspects.isNotEmpty() && suspects.all { it.task.crashHistory.isSuspect },
            )
        return state.outages.commonCause(state.outages.record(outage, moment.now), state.hosts.all())
    }

    /** The task of [atCrash], or null if its job is not active or the run was never placed. */
    private fun affectedTask(
        atCrash: RunAtCrash,
        crash: ExecutorCrash,
    ): AffectedTask? {
        val job = state.jobs.active[atCrash.run.task.job]
        val task = job?.task(atCrash.run.task)?.takeIf { atCrash.run.number in 1..it.lastRun } ?: return null
        return AffectedTask(job, task, atCrash.run, crash.ageMillis(atCrash), isYoung(atCrash, crash))
    }

    /** True if the run had not yet shown that its task doesn't crash its executor. */
    private fun isYoung(
        atCrash: RunAtCrash,
        crash: ExecutorCrash,
    ): Boolean {
        val history = state.jobs[atCrash.run.task.job]?.task(atCrash.run.task)?.crashHistory ?: CrashHistory()
        return crash.ageMillis(atCrash) < history.trialMillis
    }

    private data class AffectedTask(
        val job: Job,
        val task: JobTask,
        val run: TaskRun,
        val ageMillis: Long,
        val isSuspect: Boolean,
    )
}
