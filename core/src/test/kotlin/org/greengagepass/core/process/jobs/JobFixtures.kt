/*
 * Fixtures for tests of the job scheduler.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp

internal val POOL = ServiceName("pool")

internal val SETTINGS = SchedulerSettings(leaseMillis = 5_000, leadershipMillis = 3_000, retentionMillis = 180_000)

internal fun moment(millis: Long) = Moment(Timestamp(millis), EPOCH_MILLIS + millis)

private const val EPOCH_MILLIS = 1_700_000_000_000L

internal fun incarnation(
    host: String,
    number: Long = 1,
) = HostIncarnation(HostId(host), ExecutorName("$host-$number"), number)

internal fun description(
    incarnation: HostIncarnation,
    failureDomain: String = "north",
    capacity: Resources = Resources(milliCores = 16_000, memoryMegabytes = 64_000),
) = HostDescription(
    incarnation = incarnation,
    pool = POOL,
    failureDomain = FailureDomainName(failureDomain),
    rack = RackName("rack"),
    labels = listOf("a", "rack"),
    capacity = capacity,
)

internal fun queue(
    priority: Int = 0,
    attemptsMaximum: Int = 2,
) = QueueDefinition(
    name = QueueName("queue-$priority"),
    pool = POOL,
    priority = priority,
    attemptsMaximum = attemptsMaximum,
    stretchFactor = 1.5,
    latencyTargetMillis = 300,
)

internal fun step(
    taskCount: Int = 1,
    milliCores: Long = 1_000,
    dependsOn: List<Int> = emptyList(),
    coordination: StepCoordination = StepCoordination.INDEPENDENT,
    constraints: StepConstraints = StepConstraints(),
) = StepSpecification(
    taskCount = taskCount,
    demand = Resources(milliCores = milliCores, memoryMegabytes = 1_000),
    estimatedMillis = 1_000,
    dependsOn = dependsOn,
    coordination = coordination,
    constraints = constraints,
)

/** A step of best-effort tasks, which use only spare processor time. */
internal fun bestEffortStep(image: String = "best-effort"): StepSpecification =
    step().copy(sharing = StepSharing(image, usesSpareProcessor = true), estimatedMillis = 20_000)

/** A step of serving tasks, which have a latency objective. */
internal fun servingStep(
    image: String = "service",
    milliCores: Long = 4_000,
): StepSpecification =
    step(milliCores = milliCores).copy(
        lifetime = StepLifetime.STANDING,
        sharing = StepSharing(image, latencyTargetMillis = 20),
    )

internal fun specification(vararg steps: StepSpecification) = JobSpecification("payload", steps.toList())

/** Runs a scheduler with a store that confirms every change immediately. */
internal class SchedulerHarness(
    jobs: List<Job> = emptyList(),
    startedAt: Long = 0,
    storedRecords: List<StateRecord> = emptyList(),
) {
    val scheduler = JobScheduler(SETTINGS, JobTable(jobs), Timestamp(startedAt), storedRecords)
    val stored = LinkedHashMap<String, StateRecord>()
    private val pollNumbers = HashMap<HostIncarnation, Long>()

    /** Connects a host and reports that it is empty, so that tasks may be placed on it. */
    fun connect(
        host: HostDescription,
        millis: Long,
    ) {
        scheduler.hosts.connected(host, moment(millis))
        report(host.incarnation, millis)
    }

    fun report(
        host: HostIncarnation,
        millis: Long,
        running: List<RunStatus> = emptyList(),
        ends: List<RunEnd> = emptyList(),
    ): Long? {
        val pollNumber = (pollNumbers[host] ?: 0) + 1
        pollNumbers[host] = pollNumber
        return scheduler.hosts.reportReceived(HostReport(host, pollNumber, millis, running, ends), true, moment(millis))
    }

    /** The host [host] confirms that it has started [run]. */
    fun confirm(
        host: HostIncarnation,
        run: TaskRun,
        millis: Long,
    ) = scheduler.hosts.startAnswered(
        StartResult(host, run, StartOutcome.STARTED, pollNumbers[host] ?: 0),
        moment(millis),
    )

    /** Effects of a tick at [millis], after its changes are stored. */
    fun effects(millis: Long): List<SchedulerEffect> {
        scheduler.tick(moment(millis), mayStart = true)
        val immediate = scheduler.takeImmediate()
        val batch = scheduler.takeBatch() ?: return immediate
        batch.change.records.forEach { if (it.value == null) stored.remove(it.key) else stored[it.key] = it }
        scheduler.stored(batch)
        return immediate + batch.effects + scheduler.takeImmediate()
    }

    fun starts(millis: Long): List<SchedulerEffect.Start> = effects(millis).filterIsInstance<SchedulerEffect.Start>()

    /** The only run that starts at [millis]. */
    fun startedRun(millis: Long): TaskRun = starts(millis).single().command.run

    /** Connects [host], submits a job of [step] and returns its only run. */
    fun startOn(
        host: HostDescription,
        step: StepSpecification,
        job: String = "job",
    ): TaskRun {
        connect(host, 0)
        submit(job, specification(step), 0)
        return startedRun(10)
    }

    /** A scheduler that starts from the stored jobs of this one and becomes leader at [startedAt]. */
    fun successor(startedAt: Long): SchedulerHarness =
        stored.values
            .toList()
            .let { SchedulerHarness(StoredJobs.decode(it), startedAt, it) }
            .also { it.stored += stored }

    fun visibleStatus(job: String): JobStatus? = scheduler.state.jobs.visibleStatus(JobId(job))

    fun submit(
        id: String,
        specification: JobSpecification,
        millis: Long,
        queue: QueueDefinition = queue(),
    ) = scheduler.callers.submit(1, JobId(id), queue, specification, moment(millis))
}

internal fun running(
    run: TaskRun,
    measurement: Int = 1_000,
) = RunStatus(run, checkpoint = "", workPercent = 100, measurement = measurement)
