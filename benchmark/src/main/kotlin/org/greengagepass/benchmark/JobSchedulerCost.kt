/*
 * Measures the cost of the job scheduler's decisions at several numbers of hosts: processor time for each started task
 * and each tick without changes, and bytes stored for each task. The number of tasks per host is constant, so that a
 * cost that grows with the number of hosts is visible.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.JobTable
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName
import org.greengagepass.core.process.jobs.RunEnd
import org.greengagepass.core.process.jobs.RunOutcome
import org.greengagepass.core.process.jobs.SchedulerEffect
import org.greengagepass.core.process.jobs.SchedulerSettings
import org.greengagepass.core.process.jobs.StepSpecification
import java.lang.management.ManagementFactory

private const val ROUNDS = 12
private const val WARM_UP_ROUNDS = 4
private const val TASKS_PER_JOB = 10
private const val JOBS_PER_HOST = 1
private const val ROUND_MILLIS = 200L
private const val NANOS_PER_MICRO = 1_000.0
private const val SMALL_PARTITION_HOSTS = 60
private const val HALF_PARTITION_HOSTS = 250
private const val PARTITION_HOSTS = 500
private const val DOUBLE_PARTITION_HOSTS = 1_000
private val HOSTS = listOf(SMALL_PARTITION_HOSTS, HALF_PARTITION_HOSTS, PARTITION_HOSTS, DOUBLE_PARTITION_HOSTS)
private val POOL = ServiceName("pool")
private val SETTINGS = SchedulerSettings(leaseMillis = 5_000, leadershipMillis = 3_000, retentionMillis = 0)

/** Runs the measurement. */
public fun main() {
    println("hosts  us/start  us/quiet tick  us/report and end  bytes/task")
    HOSTS.forEach { println(JobSchedulerCost(it).measure()) }
}

/** A scheduler with [hostCount] hosts. In each round, all tasks are submitted, started and completed. */
private class JobSchedulerCost(
    private val hostCount: Int,
) {
    private val threads = ManagementFactory.getThreadMXBean()
    private val scheduler = JobScheduler(SETTINGS, JobTable(), Timestamp(0))
    private val hosts = List(hostCount) { HostIncarnation(HostId("host-$it"), ExecutorName("executor-$it"), 1) }
    private val endNumbers = HashMap<HostIncarnation, Long>()
    private var now = 0L
    private var pollNumber = 0L
    private var bytes = 0L
    private var starts = 0L

    fun measure(): String {
        hosts.forEach { scheduler.hosts.connected(describe(it), moment()) }
        report(emptyList())
        var startNanos = 0L
        var tickNanos = 0L
        var endNanos = 0L
        repeat(WARM_UP_ROUNDS + ROUNDS) { round ->
            if (round == WARM_UP_ROUNDS) {
                bytes = 0
                starts = 0
                startNanos = 0
                tickNanos = 0
                endNanos = 0
            }
            submit(round)
            var started = emptyList<SchedulerEffect.Start>()
            startNanos += cpuNanos { started = takeStarts() }
            tickNanos += cpuNanos { scheduler.tick(moment(), mayStart = true) }
            now += ROUND_MILLIS
            endNanos += cpuNanos { report(started) }
        }
        return "%5d  %8.1f  %13.0f  %17.1f  %10.0f".format(
            hostCount,
            startNanos / NANOS_PER_MICRO / starts,
            tickNanos / NANOS_PER_MICRO / ROUNDS,
            endNanos / NANOS_PER_MICRO / starts,
            bytes.toDouble() / starts,
        )
    }

    private fun submit(round: Int) {
        val step =
            StepSpecification(TASKS_PER_JOB, Resources(milliCores = 500, memoryMegabytes = 500), estimatedMillis = 200)
        val queue = QueueDefinition(QueueName("queue"), POOL, attemptsMaximum = 2)
        repeat(hostCount * JOBS_PER_HOST) { number ->
            val id = JobId("%04x%012x".format(round, number))
            scheduler.callers.submit(0, id, queue, JobSpecification("", listOf(step)), moment())
        }
    }

    private fun takeStarts(): List<SchedulerEffect.Start> {
        scheduler.tick(moment(), mayStart = true)
        return takeEffects().filterIsInstance<SchedulerEffect.Start>().also { starts += it.size }
    }

    private fun report(started: List<SchedulerEffect.Start>) {
        pollNumber += 1
        val byHost = started.groupBy { it.host }
        hosts.forEach { host ->
            val ends =
                byHost[host].orEmpty().map { start ->
                    val number = (endNumbers[host] ?: 0) + 1
                    endNumbers[host] = number
                    RunEnd(number, start.command.run, RunOutcome.DONE, "")
                }
            scheduler.hosts.reportReceived(HostReport(host, pollNumber, now, emptyList(), ends), true, moment())
        }
        takeEffects()
    }

    private fun takeEffects(): List<SchedulerEffect> {
        scheduler.takeImmediate()
        val batch = scheduler.takeBatch() ?: return emptyList()
        bytes += batch.change.records.sumOf { it.key.length + (it.value?.size ?: 0) }
        scheduler.stored(batch)
        return batch.effects
    }

    private fun describe(host: HostIncarnation) =
        HostDescription(
            incarnation = host,
            pool = POOL,
            failureDomain = FailureDomainName("domain"),
            rack = RackName("rack"),
            labels = emptyList(),
            capacity = Resources(milliCores = 16_000, memoryMegabytes = 64_000),
        )

    private fun moment() = Moment(Timestamp(now), now)

    private fun cpuNanos(block: () -> Unit): Long {
        val before = threads.currentThreadCpuTime
        block()
        return threads.currentThreadCpuTime - before
    }
}
