/*
 * Simulates a store, hosts and successive leaders, in simulated time and with random faults.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import kotlin.random.Random

private const val STEP_MILLIS = 20L
private const val FAULTS_MILLIS = 30_000L
private const val END_MILLIS = 75_000L
private const val HOSTS = 4

/** One random history. */
internal class SchedulerSimulation(
    private val random: Random,
) {
    val violations = ArrayList<String>()
    private val acknowledgedDone = HashSet<TaskKey>()
    private val hosts = List(HOSTS) { SimulatedExecutor("host-$it", random, ::onStart) }
    private val store = LinkedHashMap<String, StateRecord>()
    private var leaders = listOf<SimulatedLeader>()
    private var now = 0L
    private var submitted = 0

    val completedJobs: Int
        get() = StoredJobs.decode(store.values.toList()).count { it.outcome == JobOutcome.COMPLETED }

    fun run() {
        startLeader()
        while (now < END_MILLIS) {
            now += STEP_MILLIS
            if (now < FAULTS_MILLIS) injectFaults() else endFaults()
            hosts.forEach { it.advance(now) }
            leaders.forEach { it.advance(now) }
            checkCapacity()
        }
        StoredJobs.decode(store.values.toList()).filter { it.outcome == JobOutcome.ACTIVE }.forEach { job ->
            violations += "job ${job.id.value} is not done at the end"
        }
    }

    private fun injectFaults() {
        if (random.nextInt(30) == 0) submit()
        if (random.nextInt(250) == 0) hosts.random(random).disconnectedUntil = now + random.nextLong(200, 12_000)
        if (random.nextInt(500) == 0) hosts.random(random).restart(now)
        if (random.nextInt(250) == 0) hosts.random(random).lateCommandsUntil = now + 2_000
        if (random.nextInt(400) == 0) startLeader()
        leaders.last().canStore = random.nextInt(200) != 0 || now % 1_000 == 0L
    }

    private fun endFaults() {
        hosts.forEach { it.endFaults() }
        leaders.last().canStore = true
    }

    private fun submit() {
        submitted += 1
        val steps =
            List(random.nextInt(1, 4)) { number ->
                step(taskCount = random.nextInt(1, 5), dependsOn = if (number == 0) emptyList() else listOf(number - 1))
            }
        val specification = JobSpecification("", steps)
        leaders.last().submit(JobId("job-$submitted"), specification, now)
    }

    /** Starts a new leader. The old one continues until its leadership expires, but can no longer store changes. */
    private fun startLeader() {
        val jobs = StoredJobs.decode(store.values.toList())
        leaders.lastOrNull()?.isFenced = true
        leaders.lastOrNull()?.leadershipEndsAt = now + SETTINGS.leadershipMillis
        val epoch = leaders.size + 1
        leaders = leaders +
            SimulatedLeader(epoch, jobs, now, hosts, random) { records ->
                records.forEach { if (it.value == null) store.remove(it.key) else store[it.key] = it }
            }
        leaders.last().onAcknowledged = { acknowledgedDone += it }
        val newest = leaders.last()
        hosts.forEach {
            if (random.nextInt(3) != 0 ||
                it.leader == null
            ) {
                it.follow(newest)
            } else {
                it.followLater(newest, now + 1_500)
            }
        }
    }

    private fun onStart(
        host: SimulatedExecutor,
        run: TaskRun,
    ) {
        val others = hosts.filter { it !== host && it.isRunning(run.task) }
        others.forEach { violations += "at $now $run starts on ${host.name} while it runs on ${it.name}" }
        if (run.task in acknowledgedDone) violations += "at $now $run starts after its acknowledged end"
    }

    private fun checkCapacity() {
        hosts.filter { it.runningCount > it.slots }.forEach { violations += "at $now ${it.name} is overloaded" }
    }
}

/** Simulates a leader with the scheduler under test. */
internal class SimulatedLeader(
    val epoch: Int,
    jobs: List<Job>,
    startedAt: Long,
    private val hosts: List<SimulatedExecutor>,
    private val random: Random,
    private val write: (List<StateRecord>) -> Unit,
) {
    var isFenced = false
    var leadershipEndsAt = Long.MAX_VALUE
    var canStore = true
    var onAcknowledged: (TaskKey) -> Unit = {}
    private val scheduler = JobScheduler(SETTINGS, JobTable(jobs), moment(startedAt).now)
    private val connected = HashMap<SimulatedExecutor, HostIncarnation>()
    private val doneByNumber = HashMap<Pair<HostIncarnation, Long>, TaskKey>()

    fun submit(
        id: JobId,
        specification: JobSpecification,
        millis: Long,
    ) = scheduler.callers.submit(0, id, queue(attemptsMaximum = 100), specification, moment(millis))

    fun advance(millis: Long) {
        if (millis >= leadershipEndsAt) return
        hosts.filter { it.leader === this }.forEach { connectOrDrop(it, millis) }
        scheduler.tick(moment(millis), mayStart = !isFenced)
        scheduler.takeImmediate()
        if (!isFenced && canStore) scheduler.takeBatch()?.let(::store)
    }

    private fun store(batch: SchedulerBatch) {
        write(batch.change.records)
        scheduler.stored(batch)
        batch.effects.forEach { perform(it) }
    }

    /** Handles [report] and returns the end of the host's lease, or null if the lease is not extended. */
    fun report(
        report: HostReport,
        millis: Long,
    ): Long? {
        report.ends.filter { it.outcome == RunOutcome.DONE }.forEach {
            doneByNumber[report.incarnation to it.number] = it.run.task
        }
        return scheduler.hosts.reportReceived(report, millis < leadershipEndsAt, moment(millis))
    }

    fun startAnswered(
        result: StartResult,
        millis: Long,
    ) = scheduler.hosts.startAnswered(result, moment(millis))

    fun stopAnswered(result: StopResult) = scheduler.hosts.stopAnswered(result)

    private fun connectOrDrop(
        host: SimulatedExecutor,
        millis: Long,
    ) {
        val known = connected[host]
        when {
            host.isDisconnected(millis) && known != null -> {
                scheduler.hosts.disconnected(known)
                connected.remove(host)
            }
            !host.isDisconnected(millis) && known != host.incarnation -> {
                scheduler.hosts.connected(host.describe(), moment(millis))
                connected[host] = host.incarnation
                host.connected()
            }
        }
    }

    private fun perform(effect: SchedulerEffect) {
        when (effect) {
            is SchedulerEffect.Start -> host(effect.host)?.receiveStart(effect.command.run, this)
            is SchedulerEffect.Stop -> host(effect.host)?.stop(effect.run, this)
            is SchedulerEffect.AcknowledgeEnds -> {
                val reached = host(effect.host)?.acknowledge(effect.through) ?: false
                if (reached && random.nextInt(10) != 0) markAcknowledged(effect)
            }
            is SchedulerEffect.Throttle, is SchedulerEffect.Reply, is SchedulerEffect.LogDecision -> Unit
        }
    }

    private fun markAcknowledged(effect: SchedulerEffect.AcknowledgeEnds) =
        doneByNumber
            .filterKeys { (host, number) -> host == effect.host && number <= effect.through }
            .filterKeys { (_, number) -> host(effect.host)?.countsAsAcknowledged(number) ?: false }
            .values
            .forEach(onAcknowledged)

    private fun host(incarnation: HostIncarnation): SimulatedExecutor? =
        hosts.firstOrNull { it.leader === this && connected[it] == incarnation && it.incarnation == incarnation }
}

/** Simulates an executor with its agent. */
internal class SimulatedExecutor(
    val name: String,
    private val random: Random,
    private val onStart: (SimulatedExecutor, TaskRun) -> Unit,
) {
    val slots = 8
    var incarnation = incarnation(name, number = 1)
        private set
    var leader: SimulatedLeader? = null
        private set
    var disconnectedUntil = 0L
    var lateCommandsUntil = 0L
    private var nextLeader: Pair<SimulatedLeader, Long>? = null
    private var now = 0L
    private var pollNumber = 0L
    private var nextReportAt = 0L
    private var leaseUntil = 0L
    private var acknowledged = 0L
    private var endsBeforeExpiry = 0L
    private val running = LinkedHashMap<TaskKey, Pair<TaskRun, Long>>()
    private val highestRuns = HashMap<TaskKey, Int>()
    private val ends = ArrayList<RunEnd>()
    private val delayed = ArrayList<DelayedCommand>()

    val runningCount: Int
        get() = running.size

    /** The executor's clock is two hundredths slow. */
    private val clock: Long
        get() = now * 98 / 100

    fun isRunning(task: TaskKey): Boolean = task in running && clock < leaseUntil

    fun isDisconnected(millis: Long): Boolean = millis < disconnectedUntil

    fun describe() =
        description(incarnation, capacity = Resources(milliCores = slots * 1_000L, memoryMegabytes = 64_000))

    fun endFaults() {
        disconnectedUntil = 0
        lateCommandsUntil = 0
    }

    fun follow(newest: SimulatedLeader) {
        leader = newest
        nextLeader = null
        connected()
    }

    fun followLater(
        newest: SimulatedLeader,
        millis: Long,
    ) {
        nextLeader = newest to millis
    }

    fun connected() {
        nextReportAt = now
    }

    fun restart(millis: Long) {
        now = millis
        incarnation = incarnation(name, number = incarnation.startedAtEpochMillis + 1)
        running.clear()
        highestRuns.clear()
        ends.clear()
        delayed.clear()
        acknowledged = 0
        endsBeforeExpiry = 0
        leaseUntil = 0
    }

    fun advance(millis: Long) {
        now = millis
        nextLeader?.takeIf { it.second <= millis }?.let { follow(it.first) }
        if (clock >= leaseUntil) {
            running.values.toList().forEach { end(it.first, RunOutcome.LAPSED) }
            endsBeforeExpiry = maxOf(endsBeforeExpiry, ends.lastOrNull()?.number ?: 0)
        }
        running.values.filter { it.second <= millis }.forEach { end(it.first, RunOutcome.DONE) }
        delayed.filter { it.at <= millis }.forEach { execute(it) }
        delayed.removeAll { it.at <= millis }
        if (!isDisconnected(millis) && millis >= nextReportAt) report()
    }

    /** Models the retries of an agent: a long-delayed command gets no answer, and a second copy of it is answered. */
    fun receiveStart(
        run: TaskRun,
        sender: SimulatedLeader,
    ) {
        if (now < lateCommandsUntil && random.nextBoolean()) {
            val lease = leaseUntil
            delayed += DelayedCommand(now + random.nextLong(2_000, 12_000), run, sender, lease, hasReply = false)
        }
        delayed += DelayedCommand(now + random.nextLong(0, 100), run, sender, leaseUntil, hasReply = true)
    }

    fun stop(
        run: TaskRun,
        sender: SimulatedLeader,
    ) {
        highestRuns[run.task] = maxOf(highestRuns[run.task] ?: 0, run.number)
        running[run.task]?.takeIf { it.first == run }?.let { end(run, RunOutcome.STOPPED) }
        if (!isDisconnected(now) && sender === leader) sender.stopAnswered(StopResult(incarnation, run, pollNumber))
    }

    /** Excludes ends before the last expiry of the lease, since their tasks may have run again since then. */
    fun countsAsAcknowledged(number: Long): Boolean = number > endsBeforeExpiry

    fun acknowledge(through: Long): Boolean {
        if (isDisconnected(now)) return false
        acknowledged = maxOf(acknowledged, through)
        ends.removeAll { it.number <= acknowledged }
        return true
    }

    private fun execute(command: DelayedCommand) {
        val outcome =
            when {
                clock >= command.leaseUntil -> StartOutcome.LATE
                running[command.run.task]?.first == command.run -> StartOutcome.STARTED
                command.run.number <= (highestRuns[command.run.task] ?: 0) -> StartOutcome.SUPERSEDED
                running.size >= slots -> StartOutcome.NO_ROOM
                else -> start(command.run)
            }
        if (command.hasReply && !isDisconnected(now) && command.sender === leader) {
            command.sender.startAnswered(StartResult(incarnation, command.run, outcome, pollNumber), now)
        }
    }

    private fun start(run: TaskRun): StartOutcome {
        onStart(this, run)
        running[run.task] = run to now + random.nextLong(100, 2_500)
        return StartOutcome.STARTED
    }

    private fun end(
        run: TaskRun,
        outcome: RunOutcome,
    ) {
        running.remove(run.task)
        highestRuns[run.task] = maxOf(highestRuns[run.task] ?: 0, run.number)
        ends += RunEnd((ends.lastOrNull()?.number ?: acknowledged) + 1, run, outcome, "")
    }

    private fun report() {
        nextReportAt = now + random.nextLong(100, 400)
        pollNumber += 1
        val tasks = running.values.map { running(it.first) }
        val report = HostReport(incarnation, pollNumber, clock, tasks, ends.toList())
        leader?.report(report, now)?.let { leaseUntil = maxOf(leaseUntil, it) }
    }

    private data class DelayedCommand(
        val at: Long,
        val run: TaskRun,
        val sender: SimulatedLeader,
        val leaseUntil: Long,
        val hasReply: Boolean,
    )
}
