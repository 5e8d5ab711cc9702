/*
 * Simulates a store, executors, their agents and successive leaders with the connections between them, in simulated
 * time and with random faults.
 */
package org.greengagepass.core.process.jobs

import kotlin.random.Random

private const val STEP_MILLIS = 20L
private const val FAULTS_MILLIS = 30_000L
private const val END_MILLIS = 75_000L
private const val HOSTS = 4

/** Covers the longest lease of a predecessor. */
private const val EXPLAINED_MILLIS = 9_000L

/** One random history. */
internal class ConnectionSimulation(
    private val random: Random,
) : StoreModel,
    ExecutorObserver {
    val violations = ArrayList<String>()
    private val acknowledgedDone = HashSet<TaskKey>()
    private val records = LinkedHashMap<String, StateRecord>()
    private val leaders = ArrayList<LeaderModel>()
    private val executors = List(HOSTS) { ExecutorModel("host-$it", checksCapacity = it % 2 == 0, random, this) }
    private val agents = executors.map { AgentModel(it, random) { leaders } }
    private val events = ArrayList<Event>()
    private var unavailableUntil = 0L
    private var now = 0L
    private var submitted = 0

    override val newestEpoch: Int
        get() = leaders.last().epoch

    override val isAvailable: Boolean
        get() = now >= unavailableUntil

    val completedJobs: Int
        get() = jobs().count { it.outcome == JobOutcome.COMPLETED }

    fun run() {
        startLeader()
        while (now < END_MILLIS) {
            now += STEP_MILLIS
            if (now < FAULTS_MILLIS) injectFaults() else endFaults()
            executors.forEach { it.advance(now) }
            agents.forEach { it.advance(now) }
            leaders.forEach { it.advance(now) }
            checkCapacity()
        }
        jobs().filter { it.outcome != JobOutcome.COMPLETED }.forEach { job ->
            val tasks = job.tasks.joinToString("\n") { "${it.key.step}.${it.key.index} ${it.run.number} ${it.state}" }
            violations += "job ${job.id.value} is ${job.outcome} at the end:\n$tasks"
        }
    }

    override fun write(records: List<StateRecord>) {
        records.forEach { if (it.value == null) this.records.remove(it.key) else this.records[it.key] = it }
    }

    override fun report(violation: String) {
        violations += violation
    }

    override fun onStart(
        executor: ExecutorModel,
        run: TaskRun,
    ) {
        executors.filter { it !== executor && it.isRunning(run.task) }.forEach {
            violations += "at $now $run starts on ${executor.name} while it runs on ${it.name}" + explain(run.task)
        }
        if (run.task in acknowledgedDone) {
            violations += "at $now $run starts after its acknowledged end" + explain(run.task)
        }
    }

    override fun log(
        task: TaskKey?,
        text: () -> String,
    ) {
        events += Event(now, task, text)
    }

    /** The latest events of [task] and of all hosts and leaders. */
    private fun explain(task: TaskKey): String =
        events
            .filter { it.at > now - EXPLAINED_MILLIS && (it.task == null || it.task == task) }
            .joinToString("") { "\n  ${it.at} ${it.text()}" }

    override fun onAcknowledged(task: TaskKey) {
        log(task) { "the end is acknowledged" }
        acknowledgedDone += task
    }

    private fun jobs() = StoredJobs.decode(records.values.toList())

    private fun injectFaults() {
        if (isDue(600)) submit()
        if (isDue(8_000)) executors.random(random).silentUntil = now + random.nextLong(500, 9_000)
        if (isDue(8_000)) executors.random(random).lossyUntil = now + random.nextLong(500, 4_000)
        if (isDue(8_000)) executors.random(random).lateUntil = now + random.nextLong(500, 4_000)
        if (isDue(8_000)) executors.random(random).crash(random.nextLong(20, 9_000), keepsName = random.nextBoolean())
        if (isDue(12_000)) executors.random(random).drain()
        if (isDue(6_000)) agents.random(random).cutUntil = now + random.nextLong(200, 12_000)
        if (isDue(4_000)) agents.random(random).cutUntil = now + random.nextLong(1_100, 1_500)
        if (isDue(8_000)) agents.random(random).pausedUntil = now + random.nextLong(500, 8_000)
        if (isDue(8_000)) agents.random(random).restart(random.nextLong(200, 2_000))
        if (isDue(9_000)) startLeader()
        if (isDue(6_000)) leaders.last().pausedUntil = now + random.nextLong(300, 4_000)
        if (isDue(8_000)) unavailableUntil = now + random.nextLong(200, 5_000)
    }

    private fun isDue(everyMillis: Long): Boolean = random.nextLong(everyMillis / STEP_MILLIS) == 0L

    private fun endFaults() {
        executors.forEach {
            it.silentUntil = 0
            it.lossyUntil = 0
            it.lateUntil = 0
        }
        agents.forEach {
            it.cutUntil = 0
            it.pausedUntil = 0
        }
        leaders.last().pausedUntil = 0
        unavailableUntil = 0
    }

    private fun submit() {
        submitted += 1
        val steps =
            List(random.nextInt(1, 4)) { number ->
                step(taskCount = random.nextInt(1, 7), dependsOn = if (number == 0) emptyList() else listOf(number - 1))
            }
        leaders.last().takeIf { it.isActive }?.submit(JobId("job-$submitted"), JobSpecification("", steps))
    }

    /** Starts a new leader. The earlier one goes on until it learns of it. */
    private fun startLeader() {
        leaders += LeaderModel(leaders.size + 1, jobs(), now, this, random)
        agents.forEach { it.hearsOfLeaderAt = now + random.nextLong(1_500) }
    }

    private data class Event(
        val at: Long,
        val task: TaskKey?,
        val text: () -> String,
    )

    private fun checkCapacity() {
        executors.filter { it.isUp && it.runningCount > it.slots }.forEach {
            violations += "at $now ${it.name} has ${it.runningCount} runs"
        }
    }
}
