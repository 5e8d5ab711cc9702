/*
 * Why a task waits, as a code and a sentence for operators. The reasons are checked from the widest to the narrowest:
 * the log and the owner, the configuration, the quota, the hosts.
 */
package org.greengagepass.entry.request

import kotlinx.serialization.Serializable
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.process.Task
import org.greengagepass.core.process.TaskState
import org.greengagepass.core.version.ConfigurationFreshness
import org.greengagepass.core.version.Quota
import org.greengagepass.core.process.WaitReason as PlacementReason

/** State of a task and the reason for it. [decidedByOwner] is false if this entry does not schedule the task. */
@Serializable
public data class WhyView(
    val taskId: String,
    val state: String,
    val code: Int,
    val name: String,
    val reason: String,
    val decidedByOwner: Boolean,
)

/** A host on which a task may be placed. */
public data class CandidateHost(
    val capacity: Resources,
    val free: Resources,
    val isFailureDomainOut: Boolean,
    val draining: Boolean,
)

/**
 * What placement of a task depends on, according to this entry. [tasksAhead] counts the tasks that wait before it.
 * [placement] is the reason that the last round gave, if this entry schedules the task.
 */
public data class PlacementConditions(
    val isOwned: Boolean,
    val owner: String?,
    val isLogAvailable: Boolean,
    val configurationAgeMillis: Long?,
    val quota: Quota?,
    val runningOfTeam: Resources,
    val hosts: List<CandidateHost>,
    val tasksAhead: Int,
    val placement: PlacementReason? = null,
)

/** The reason for the state of [task] under [conditions]. */
public fun reasonOf(
    task: Task,
    conditions: PlacementConditions,
): WhyView {
    val reason = stateReason(task) ?: waitReason(task, conditions)
    return WhyView(
        taskId = task.id.value,
        state = stateName(task.state),
        code = reason.code.number,
        name = reason.code.name,
        reason = reason.detail + failuresOf(task),
        decidedByOwner = conditions.isOwned,
    )
}

/** Name of [state] in answers and metrics. */
public fun stateName(state: TaskState): String =
    when (state) {
        is TaskState.Waiting -> "waiting"
        is TaskState.Assigned -> "assigned"
        is TaskState.Running -> "running"
        is TaskState.Finished -> "finished"
        is TaskState.Failed -> "failed"
        is TaskState.Cancelled -> "cancelled"
    }

private fun failuresOf(task: Task): String =
    if (task.failures.count == 0) "" else "; ${task.failures.count} attempts in a row have failed"

private fun stateReason(task: Task): ApiError? =
    when (val state = task.state) {
        is TaskState.Waiting -> null

        is TaskState.Assigned ->
            ApiError(ResultCode.OK, "it is assigned to ${state.attempt.host.value}, which has not confirmed the start")

        is TaskState.Running -> ApiError(ResultCode.OK, "it runs on ${state.attempt.host.value}")

        is TaskState.Finished -> ApiError(ResultCode.OK, "it has finished")

        is TaskState.Failed -> ApiError(state.code, state.detail.ifEmpty { "it has failed" })

        is TaskState.Cancelled -> ApiError(ResultCode.CANCELLED, "it was cancelled at the request of its team")
    }

private fun waitReason(
    task: Task,
    conditions: PlacementConditions,
): ApiError =
    coordinationReason(task, conditions)
        ?: conditions.placement?.let { ApiError(it.code, it.text) }
        ?: quotaReason(task, conditions)
        ?: hostReason(task, conditions)

private fun coordinationReason(
    task: Task,
    conditions: PlacementConditions,
): ApiError? {
    val age = conditions.configurationAgeMillis
    return when {
        task.cancelRequested -> ApiError(ResultCode.CANCELLED, "its cancellation was requested and is not recorded yet")

        !conditions.isLogAvailable ->
            ApiError(
                ResultCode.LOG_UNAVAILABLE,
                "this entry can't read the log; no task starts until the log is available again",
            )

        conditions.owner == null ->
            ApiError(ResultCode.NOT_OWNER, "no entry owns its partition now; one takes it over within a few seconds")

        !conditions.isOwned && conditions.hosts.isEmpty() ->
            ApiError(ResultCode.NOT_OWNER, "entry ${conditions.owner} schedules it; send the call to that entry")

        age == null || age >= ConfigurationFreshness.PERMISSION_AGE_MAXIMUM_MILLIS ->
            ApiError(
                ResultCode.STALE_PERMISSION,
                "the configuration is too old to start tasks; ms since it was confirmed: ${age ?: "never confirmed"}",
            )

        else -> null
    }
}

private fun quotaReason(
    task: Task,
    conditions: PlacementConditions,
): ApiError? {
    val limit = conditions.quota?.running ?: return null
    val requested = conditions.runningOfTeam + task.specification.declared
    return ApiError(
        ResultCode.QUOTA_EXHAUSTED,
        "team ${task.specification.team.value} would run ${describe(requested)} and its quota is ${describe(limit)}",
    ).takeUnless { requested.fitsIn(limit) }
}

private fun hostReason(
    task: Task,
    conditions: PlacementConditions,
): ApiError {
    val needed = task.specification.declared
    val hosts = conditions.hosts
    val inService = hosts.filterNot { it.isFailureDomainOut }
    val admitting = inService.filterNot { it.draining }
    return when {
        hosts.isEmpty() -> ApiError(ResultCode.NO_UPSTREAM, "no agent of its partition is connected")

        inService.isEmpty() ->
            ApiError(ResultCode.FAILURE_DOMAIN_OUT, "the failure domains of all ${hosts.size} hosts are out of service")

        admitting.isEmpty() -> ApiError(ResultCode.DRAINING, "all ${inService.size} hosts in service are draining")

        admitting.none { needed.fitsIn(it.capacity) } ->
            ApiError(ResultCode.HOST_FULL, "it needs ${describe(needed)}, which is more than any host in service has")

        admitting.none { needed.fitsIn(it.free) } ->
            ApiError(ResultCode.HOST_FULL, "it needs ${describe(needed)}; no host has that free at present")

        else ->
            ApiError(
                ResultCode.OK,
                "it waits for the next placement round; ${conditions.tasksAhead} tasks are ahead of it",
            )
    }
}

private fun describe(resources: Resources): String =
    "${resources.milliCores} thousandths of a core, ${resources.memoryMegabytes} MB and " +
        "${resources.accelerators} accelerators"
