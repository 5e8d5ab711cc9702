/*
 * A store, hosts, and leaders that follow one another, in simulated time with random faults.
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
        lead()
        while (now < END_MILLIS) {
            now += STEP_MILLIS
            if (now < FAULTS_MILLIS) inject() else heal()
            hosts.forEach { it.pass(now) }
            leaders.forEach { it.pass(now) }
            checkRoom()
        }
        StoredJobs.decode(store.values.toList()).filter { it.outcome == JobOutcome.ACTIVE }.forEach { job ->
            violations += "job ${job.id.value} is not done at the end"
        }
    }

    private fun inject() {
        if (random.nextInt(30) == 0) submit()
        if (random.nextInt(250) == 0) hosts.random(random).cutUntil = now + random.nextLong(200, 12_000)
        if (random.nextInt(500) == 0) hosts.random(random).rebear(now)
        if (random.nextInt(250) == 0) hosts.random(random).lateOrdersUntil = now + 2_000
        if (random.nextInt(400) == 0) lead()
        leaders.last().canStore = random.nextInt(200) != 0 || now % 1_000 == 0L
    }

    private fun heal() {
        hosts.forEach { it.heal() }
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

    /** A new leader begins; the old one goes on for as long as its proof lasts, but can't store anything any more. */
    private fun lead() {
        val jobs = StoredJobs.decode(store.values.toList())
        leaders.lastOrNull()?.isFenced = true
        leaders.lastOrNull()?.proofEndsAt = now + SETTINGS.leadershipMillis
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

    private fun checkRoom() {
        hosts.filter { it.runningCount > it.slots }.forEach { violations += "at $now ${it.name} is overfull" }
    }
}

/** A leader with the scheduler under test. */
internal class SimulatedLeader(
    val epoch: Int,
    jobs: List<Job>,
    startedAt: Long,
    private val hosts: List<SimulatedExecutor>,
    private val random: Random,
    private val write: (List<StateRecord>) -> Unit,
) {
    var isFenced = false
    var proofEndsAt = Long.MAX_VALUE
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

    fun pass(millis: Long) {
        if (millis >= proofEndsAt) return
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

    /** The host has told [report]; returns the lease that follows. */
    fun report(
        report: HostReport,
        millis: Long,
    ): Long? {
        report.ends.filter { it.outcome == RunOutcome.DONE }.forEach {
            doneByNumber[report.incarnation to it.number] = it.run.task
        }
        return scheduler.hosts.reported(report, millis < proofEndsAt, moment(millis))
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
            host.isCut(millis) && known != null -> {
                scheduler.hosts.disconnected(known)
                connected.remove(host)
            }
            !host.isCut(millis) && known != host.incarnation -> {
                scheduler.hosts.connected(host.describe(), moment(millis))
                connected[host] = host.incarnation
                host.connected()
            }
        }
    }

    private fun perform(effect: SchedulerEffect) {
        when (effect) {
            is SchedulerEffect.Start -> host(effect.host)?.order(effect.command.run, this)
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

/** An executor with its agent. */
internal class SimulatedExecutor(
    val name: String,
    private val random: Random,
    private val onStart: (SimulatedExecutor, TaskRun) -> Unit,
) {
    val slots = 8
    var incarnation = incarnation(name, life = 1)
        private set
    var leader: SimulatedLeader? = null
        private set
    var cutUntil = 0L
    var lateOrdersUntil = 0L
    private var next: Pair<SimulatedLeader, Long>? = null
    private var now = 0L
    private var pollNumber = 0L
    private var nextReportAt = 0L
    private var leaseUntil = 0L
    private var acknowledged = 0L
    private var endsBeforeLapse = 0L
    private val running = LinkedHashMap<TaskKey, Pair<TaskRun, Long>>()
    private val highest = HashMap<TaskKey, Int>()
    private val ends = ArrayList<RunEnd>()
    private val delayed = ArrayList<DelayedOrder>()

    val runningCount: Int
        get() = running.size

    /** The executor's clock is up to two hundredths slow. */
    private val clock: Long
        get() = now * 98 / 100

    fun isRunning(task: TaskKey): Boolean = task in running && clock < leaseUntil

    fun isCut(millis: Long): Boolean = millis < cutUntil

    fun describe() =
        description(incarnation, capacity = Resources(milliCores = slots * 1_000L, memoryMegabytes = 64_000))

    fun heal() {
        cutUntil = 0
        lateOrdersUntil = 0
    }

    fun follow(newest: SimulatedLeader) {
        leader = newest
        next = null
        connected()
    }

    fun followLater(
        newest: SimulatedLeader,
        millis: Long,
    ) {
        next = newest to millis
    }

    fun connected() {
        nextReportAt = now
    }

    fun rebear(millis: Long) {
        now = millis
        incarnation = incarnation(name, life = incarnation.startedAtEpochMillis + 1)
        running.clear()
        highest.clear()
        ends.clear()
        delayed.clear()
        acknowledged = 0
        endsBeforeLapse = 0
        leaseUntil = 0
    }

    fun pass(millis: Long) {
        now = millis
        next?.takeIf { it.second <= millis }?.let { follow(it.first) }
        if (clock >= leaseUntil) {
            running.values.toList().forEach { end(it.first, RunOutcome.LAPSED) }
            endsBeforeLapse = maxOf(endsBeforeLapse, ends.lastOrNull()?.number ?: 0)
        }
        running.values.filter { it.second <= millis }.forEach { end(it.first, RunOutcome.DONE) }
        delayed.filter { it.at <= millis }.forEach { carryOut(it) }
        delayed.removeAll { it.at <= millis }
        if (!isCut(millis) && millis >= nextReportAt) report()
    }

    /** An order that is late has no answer, and is repeated until it has one, as agents do. */
    fun order(
        run: TaskRun,
        by: SimulatedLeader,
    ) {
        if (now < lateOrdersUntil && random.nextBoolean()) {
            val lease = leaseUntil
            delayed += DelayedOrder(now + random.nextLong(2_000, 12_000), run, by, lease, answers = false)
        }
        delayed += DelayedOrder(now + random.nextLong(0, 100), run, by, leaseUntil, answers = true)
    }

    fun stop(
        run: TaskRun,
        by: SimulatedLeader,
    ) {
        highest[run.task] = maxOf(highest[run.task] ?: 0, run.number)
        running[run.task]?.takeIf { it.first == run }?.let { end(run, RunOutcome.STOPPED) }
        if (!isCut(now) && by === leader) by.stopAnswered(StopResult(incarnation, run, pollNumber))
    }

    /** An end before a lapse of the lease never counts as acknowledged, since its task may run again by then. */
    fun countsAsAcknowledged(number: Long): Boolean = number > endsBeforeLapse

    fun acknowledge(through: Long): Boolean {
        if (isCut(now)) return false
        acknowledged = maxOf(acknowledged, through)
        ends.removeAll { it.number <= acknowledged }
        return true
    }

    private fun carryOut(order: DelayedOrder) {
        val outcome =
            when {
                clock >= order.leaseUntil -> StartOutcome.LATE
                running[order.run.task]?.first == order.run -> StartOutcome.STARTED
                order.run.number <= (highest[order.run.task] ?: 0) -> StartOutcome.SUPERSEDED
                running.size >= slots -> StartOutcome.NO_ROOM
                else -> start(order.run)
            }
        if (order.answers && !isCut(now) && order.by === leader) {
            order.by.startAnswered(StartResult(incarnation, order.run, outcome, pollNumber), now)
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
        highest[run.task] = maxOf(highest[run.task] ?: 0, run.number)
        ends += RunEnd((ends.lastOrNull()?.number ?: acknowledged) + 1, run, outcome, "")
    }

    private fun report() {
        nextReportAt = now + random.nextLong(100, 400)
        pollNumber += 1
        val tasks = running.values.map { running(it.first) }
        val report = HostReport(incarnation, pollNumber, clock, tasks, ends.toList())
        leader?.report(report, now)?.let { leaseUntil = maxOf(leaseUntil, it) }
    }

    private data class DelayedOrder(
        val at: Long,
        val run: TaskRun,
        val by: SimulatedLeader,
        val leaseUntil: Long,
        val answers: Boolean,
    )
}
