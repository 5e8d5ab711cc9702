/*
 * Simulates hosts whose executors crash: by tasks that crash every executor that starts them, by racks that go down,
 * and by chance. Leaders are replaced at random and continue from the stored records.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import kotlin.random.Random

private const val STEP_MILLIS = 10L
private const val HOSTS_PER_RACK = 3

/** Faults of one history. */
internal data class CrashFaults(
    /** Share of the jobs whose first task crashes every executor that starts it. */
    val crashingShare: Double = 0.0,
    /** Time from the start of such a task to the crash. */
    val crashAfterMillis: Long = 10,
    val rackOutageEveryMillis: Long? = null,
    val hostOutageEveryMillis: Long? = null,
    val leaderChangeEveryMillis: Long? = null,
    val downMillis: Long = 3_000,
)

/** One random history of [hostCount] hosts. */
internal class CrashSimulation(
    private val random: Random,
    private val faults: CrashFaults,
    hostCount: Int = 11,
) {
    private val hosts = List(hostCount) { CrashingHost("host-$it", RackName("rack-${it / HOSTS_PER_RACK}"), random) }
    private var harness = SchedulerHarness()
    private var now = 0L
    private var submitted = 0
    private val crashingJobs = HashSet<JobId>()

    /** Number of starts of each task that crashes its executors. */
    val startsOfCrashingTasks = HashMap<TaskKey, Int>()
    val violations = ArrayList<String>()

    /** Jobs that were given up although none of their tasks crashes executors. */
    val givenUpInnocents = ArrayList<JobId>()
    var crashes = 0
        private set

    fun run(millis: Long): CrashSimulation {
        hosts.forEach { connect(it) }
        while (now < millis) {
            now += STEP_MILLIS
            if (now < millis / 3) submit()
            if (now < millis / 2) injectFaults()
            hosts.filter { it.isBackAt(now) }.forEach { connect(it) }
            hosts.filter { it.isUp }.forEach { advance(it) }
            harness.effects(now).forEach { perform(it) }
        }
        checkJobs()
        return this
    }

    private fun submit() {
        if (random.nextInt(25) != 0) return
        submitted += 1
        val id = JobId("job-$submitted")
        if (random.nextDouble() < faults.crashingShare) crashingJobs += id
        harness.submit(id.value, specification(step(taskCount = random.nextInt(1, 13), milliCores = 250)), now)
    }

    private fun injectFaults() {
        if (isDue(faults.hostOutageEveryMillis)) hosts.filter { it.isUp }.randomOrNull(random)?.let { crash(it) }
        if (isDue(faults.rackOutageEveryMillis)) {
            val rack = hosts.random(random).rack
            hosts.filter { it.rack == rack && it.isUp }.forEach { crash(it) }
        }
        if (isDue(faults.leaderChangeEveryMillis)) {
            harness = harness.successor(now)
            hosts.filter { it.isUp }.forEach { connect(it) }
        }
    }

    private fun isDue(everyMillis: Long?): Boolean =
        everyMillis != null && random.nextLong(everyMillis / STEP_MILLIS) == 0L

    private fun connect(host: CrashingHost) {
        host.isUp = true
        harness.connect(host.describe(), now)
    }

    private fun crash(host: CrashingHost) {
        crashes += 1
        host.crash(now, now + faults.downMillis + random.nextLong(400))
        harness.scheduler.hosts.silent(host.lost, moment(now))
    }

    private fun advance(host: CrashingHost) {
        val crashing =
            host.running.keys.firstOrNull {
                crashesExecutors(
                    it.task,
                ) && host.ageOf(it, now) >= faults.crashAfterMillis
            }
        if (crashing != null) return crash(host)
        host.endDue(now)
        if (now >= host.nextReportAt || host.hasNewEnds) {
            host.nextReportAt = now + 400
            harness.report(host.incarnation, now, host.running.keys.map { running(it) }, host.ends.toList())
        }
    }

    /** The first task of such a job crashes every executor that starts it. */
    private fun crashesExecutors(task: TaskKey): Boolean = task.job in crashingJobs && task.index == 0

    private fun perform(effect: SchedulerEffect) {
        when (effect) {
            is SchedulerEffect.Start -> start(effect)
            is SchedulerEffect.Stop -> host(effect.host)?.stop(effect.run)?.let { answerStop(effect) }
            is SchedulerEffect.AcknowledgeEnds -> host(effect.host)?.acknowledge(effect.through)
            is SchedulerEffect.Throttle, is SchedulerEffect.Reply, is SchedulerEffect.LogDecision -> Unit
        }
    }

    private fun start(effect: SchedulerEffect.Start) {
        val host = host(effect.host) ?: return
        val run = effect.command.run
        if (run in host.running) return
        host.running[run] = now to now + random.nextLong(200, 3_000)
        if (crashesExecutors(run.task)) startsOfCrashingTasks.merge(run.task, 1, Int::plus)
        harness.scheduler.hosts.startAnswered(
            StartResult(host.incarnation, run, StartOutcome.STARTED, pollNumber = Long.MAX_VALUE),
            moment(now),
        )
    }

    private fun answerStop(effect: SchedulerEffect.Stop): Unit =
        harness.scheduler.hosts.stopAnswered(StopResult(effect.host, effect.run, pollNumber = 0))

    private fun host(incarnation: HostIncarnation): CrashingHost? =
        hosts.firstOrNull { it.isUp && it.incarnation == incarnation }

    private fun checkJobs() {
        StoredJobs.decode(harness.stored.values.toList()).forEach { job ->
            if (job.outcome == JobOutcome.FAILED && job.id !in crashingJobs) givenUpInnocents += job.id
            val expected = if (job.id in crashingJobs) JobOutcome.FAILED else JobOutcome.COMPLETED
            if (job.outcome != expected) violations += "${job.id.value} is ${job.outcome}, expected $expected"
        }
    }
}

/** Simulates an executor and the agent beside it, which sees its crashes. */
internal class CrashingHost(
    private val name: String,
    val rack: RackName,
    private val random: Random,
) {
    var incarnation = incarnation(name)
        private set
    var lost = incarnation
        private set
    var isUp = false
    var nextReportAt = 0L
    var hasNewEnds = false
        private set

    /** Start and planned end of each run. */
    val running = LinkedHashMap<TaskRun, Pair<Long, Long>>()
    val ends = ArrayList<RunEnd>()
    private var endCount = 0L
    private var backAt = 0L
    private var crashes = listOf<ExecutorCrash>()

    fun describe() =
        description(incarnation, capacity = Resources(milliCores = 16_000, memoryMegabytes = 64_000))
            .copy(rack = rack, crashes = crashes)

    fun isBackAt(now: Long): Boolean = !isUp && now >= backAt

    fun ageOf(
        run: TaskRun,
        now: Long,
    ): Long = now - running.getValue(run).first

    fun crash(
        now: Long,
        backAt: Long,
    ) {
        val runs = running.map { (run, times) -> RunAtCrash(run, startedAtAgentClock = times.first) }
        crashes = (crashes + ExecutorCrash(incarnation, now, moment(now).epochMillis, runs)).takeLast(3)
        lost = incarnation
        incarnation = incarnation(name, incarnation.startedAtEpochMillis + 1)
        running.clear()
        ends.clear()
        endCount = 0
        isUp = false
        this.backAt = backAt
    }

    fun endDue(now: Long) {
        running
            .filterValues { it.second <= now }
            .keys
            .toList()
            .forEach { end(it, RunOutcome.DONE) }
    }

    fun stop(run: TaskRun) {
        if (run in running) end(run, RunOutcome.STOPPED)
    }

    fun acknowledge(through: Long) {
        ends.removeAll { it.number <= through }
        hasNewEnds = false
    }

    private fun end(
        run: TaskRun,
        outcome: RunOutcome,
    ) {
        running.remove(run)
        endCount += 1
        ends += RunEnd(endCount, run, outcome, "")
        hasNewEnds = random.nextInt(4) != 0
    }
}
