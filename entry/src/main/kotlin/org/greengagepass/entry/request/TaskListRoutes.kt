/*
 * HTTP calls by which operators list tasks and get the reason why a task waits.
 */
package org.greengagepass.entry.request

import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.process.Task
import org.greengagepass.core.process.WaitReason
import org.greengagepass.entry.connection.AgentHub
import org.greengagepass.entry.connection.AgentSession
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.process.PartitionService
import org.greengagepass.entry.process.Partitions
import org.greengagepass.entry.version.ConfigurationService

/** Routes that list and explain the tasks of [partitions]. They read them on [decisions]. */
public class TaskListRoutes(
    private val configuration: ConfigurationService,
    private val partitions: Partitions,
    private val hub: AgentHub,
    private val decisions: CoroutineDispatcher,
    private val clock: MonotonicClock,
) {
    /** Adds the route of the list to [route]. */
    public fun install(route: Route) {
        route.get("/v1/tasks") { call.list() }
    }

    /** Adds the route that callers may use too to [route]. */
    public fun installForCallers(route: Route) {
        route.get("/v1/tasks/{taskId}/why") { call.explain() }
    }

    private suspend fun ApplicationCall.list() {
        val team = request.queryParameters["team"]
        val state = request.queryParameters["state"]
        val page =
            pageRequest().map { page ->
                withContext(decisions) {
                    val tasks =
                        partitions.all
                            .asSequence()
                            .flatMap { it.tasks.all }
                            .filter { team == null || it.specification.team.value == team }
                            .filter { state == null || stateName(it.state) == state }
                    val found = page.of(tasks) { it.id.value }
                    ListPage(found.items.map { it.toView() }, found.next)
                }
            }
        respondPage(TaskView.serializer(), page)
    }

    private suspend fun ApplicationCall.explain() {
        val taskId = TaskId(parameters["taskId"].orEmpty())
        record?.taskId = taskId.value
        val view =
            withContext(decisions) {
                val partition = partitions.of(taskId)
                partition.tasks[taskId]?.let { reasonOf(it, conditionsOf(it, partition)) }
            }
        if (view == null) {
            respondError(ApiError(ResultCode.NOT_FOUND, "task ${taskId.value} does not exist"))
        } else {
            respondJson(WhyView.serializer(), view)
        }
    }

    private fun conditionsOf(
        task: Task,
        partition: PartitionService,
    ): PlacementConditions =
        PlacementConditions(
            isOwned = partition.isOwned,
            owner = partition.ownership.activeOwner?.value,
            isLogAvailable = configuration.isLogAvailable,
            configurationAgeMillis = configuration.freshness.confirmedAsOf?.let { clock.now().millisSince(it) },
            quota = configuration.view.quotas[task.specification.team]?.quota,
            runningOfTeam = runningOf(task.specification.team),
            hosts = hub.all.filter { isOf(partition, it.hello.host) }.mapNotNull(::candidate),
            tasksAhead =
                partition.tasks.waiting
                    .indexOfFirst { it.id == task.id }
                    .coerceAtLeast(0),
            placement =
                partition.placement
                    .waitReasonOf(task.id)
                    .takeIf { partition.isOwned && it !is WaitReason.QueuedBehindOthers },
        )

    private fun isOf(
        partition: PartitionService,
        host: HostId,
    ): Boolean = partitions.of(host) === partition

    private fun runningOf(team: TeamName): Resources =
        partitions.all
            .asSequence()
            .flatMap { partition ->
                partition.tasks.hosts
                    .asSequence()
                    .flatMap { partition.tasks.on(it) }
            }.filter { it.specification.team == team }
            .mapNotNull { it.state.attempt?.limit }
            .fold(Resources.NONE, Resources::plus)

    private fun candidate(session: AgentSession): CandidateHost? =
        session.heartbeat?.let {
            CandidateHost(
                capacity = it.capacity,
                free = it.free,
                isFailureDomainOut = configuration.view.isOut(session.hello.failureDomain),
                draining = it.draining,
            )
        }
}
