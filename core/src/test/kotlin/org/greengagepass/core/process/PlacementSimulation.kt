/*
 * A simulated partition for placement, with hosts, tasks, records that are read back late, and evictions that take
 * time. It checks each placement against the capacity of its host and the quota of its team.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Priority
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.Quota
import org.greengagepass.core.version.ServiceClass
import strikt.api.expectThat
import strikt.assertions.isTrue
import kotlin.random.Random

const val TICK_MILLIS = 100L
private const val READ_BACK_MAXIMUM_MILLIS = 400L
private const val EVICTION_MAXIMUM_MILLIS = 1_500L
private val HOST_SIZE = Resources(milliCores = 10_000, memoryMegabytes = 40_000)

class PlacementSimulation(
    hostCount: Int,
    seed: Long,
    private val quotas: Map<TeamName, Quota> = emptyMap(),
) : PlacementSources {
    val random = Random(seed)
    val models = PlacementModels()
    val placement = TaskPlacement(this, models, seed)
    val placedAt = HashMap<TaskId, Long>()
    val tasks = LinkedHashMap<TaskId, Task>()
    val evicted = ArrayList<TaskId>()
    var now = 0L
        private set
    private var nextToken = 0L
    private val hosts = List(hostCount) { HostId("host-$it") }
    private val unconfirmed = LinkedHashMap<Placement, Long>()
    private val evicting = HashMap<TaskId, Long>()

    override fun profileOf(name: ProfileName): Profile =
        Profile(
            name,
            ServiceClass.BATCH,
            priority = Priority.valueOf(name.value.substringBefore('-')),
            evictable = name.value.endsWith("-evictable"),
        )

    override fun quotaOf(team: TeamName): Quota? = quotas[team]

    fun submit(
        team: TeamName,
        size: Resources,
        profile: String = "NORMAL-evictable",
        name: String = "task-${tasks.size}",
    ): TaskId {
        val id = TaskId(name)
        val specification = TaskSpecification(id, team, ProfileName(profile), WorkKind(team.value), size)
        tasks[id] = Task(specification, FencingToken(nextToken++), submittedAtEpochMillis = 0)
        return id
    }

    /** The attempt of [id] ends; the task waits again or is removed. */
    fun end(
        id: TaskId,
        waitsAgain: Boolean,
    ) {
        val task = tasks.getValue(id)
        evicting.remove(id)
        if (waitsAgain) {
            tasks[id] = task.copy(state = TaskState.Waiting, phaseSince = FencingToken(nextToken++))
        } else {
            tasks.remove(id)
            placement.ended(id)
        }
    }

    fun running(): List<Task> = tasks.values.filter { it.state.attempt != null }

    fun tick() {
        now += TICK_MILLIS
        evicting
            .filterValues { it <= now }
            .keys
            .toList()
            .forEach { end(it, waitsAgain = true) }
        unconfirmed
            .filterValues { it <= now }
            .keys
            .toList()
            .forEach(::readBack)
        val free = hosts.associateWithTo(HashMap()) { HOST_SIZE - usedOn(it) }
        val usage = teamUsage()
        placement.place(round(free)).forEach { choice ->
            val task = tasks.getValue(choice.taskId)
            val team = task.specification.team
            free[choice.host] = free.getValue(choice.host) - choice.limit
            usage[team] = (usage[team] ?: Resources.NONE) + choice.limit
            expectThat(Resources.NONE.fitsIn(free.getValue(choice.host))).isTrue()
            quotas[team]?.let { expectThat(usage.getValue(team).fitsIn(it.running)).isTrue() }
            placedAt[choice.taskId] = now
            unconfirmed[choice] = now + random.nextLong(READ_BACK_MAXIMUM_MILLIS)
        }
        placement.takeEvictions().filter { tasks[it]?.state?.attempt != null }.forEach {
            evicted += it
            evicting.putIfAbsent(it, now + random.nextLong(EVICTION_MAXIMUM_MILLIS))
        }
    }

    private fun readBack(choice: Placement) {
        unconfirmed.remove(choice)
        val task = tasks[choice.taskId] ?: return
        val attempt = Attempt(FencingToken(nextToken++), choice.host, choice.limit)
        tasks[task.id] = task.copy(state = TaskState.Running(attempt), lastToken = attempt.token)
    }

    private fun usedOn(host: HostId): Resources {
        val read = running().mapNotNull { it.state.attempt }.filter { it.host == host }.map { it.limit }
        val queued = unconfirmed.keys.filter { it.host == host }.map { it.limit }
        return (read + queued).fold(Resources.NONE, Resources::plus)
    }

    private fun teamUsage(): HashMap<TeamName, Resources> {
        val usage = HashMap<TeamName, Resources>()
        val read = running().map { it.specification.team to it.state.attempt?.limit }
        val queued = unconfirmed.keys.map { tasks[it.taskId]?.specification?.team to it.limit }
        (read + queued).forEach { (team, limit) ->
            if (team != null && limit != null) usage[team] = (usage[team] ?: Resources.NONE) + limit
        }
        return usage
    }

    private fun round(free: Map<HostId, Resources>): PlacementRound {
        val queued = unconfirmed.keys.mapTo(HashSet()) { it.taskId }
        val waiting = tasks.values.filter { it.state is TaskState.Waiting && it.id !in queued }
        val views =
            hosts.mapIndexed { index, host ->
                HostView(
                    host,
                    FailureDomainName("domain-${index % 3}"),
                    RackName("rack-${index % 2}"),
                    HOST_SIZE,
                    free.getValue(host),
                    running().filter { it.state.attempt?.host == host },
                )
            }
        return PlacementRound(waiting.sortedBy { it.phaseSince }.asSequence(), views, Timestamp(now), maximum = 50)
    }
}
