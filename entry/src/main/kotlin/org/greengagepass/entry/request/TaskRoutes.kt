/*
 * HTTP calls by which teams submit, inspect and cancel tasks.
 */
package org.greengagepass.entry.request

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.CallerAnswer
import org.greengagepass.core.process.Task
import org.greengagepass.core.process.TaskSpecification
import org.greengagepass.core.process.TaskState
import org.greengagepass.core.version.ServiceClass
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.process.Partitions
import org.greengagepass.entry.version.ConfigurationService
import java.util.UUID

/** Body of a submission. Sizes are the team's estimates; the scheduler measures the actual ones. */
@Serializable
public data class TaskBody(
    val team: String,
    val profile: String,
    val kind: String,
    val taskId: String? = null,
    val milliCores: Long = 1_000,
    val memoryMegabytes: Long = 256,
    val accelerators: Int = 0,
    val input: String = "",
)

/** A task as callers see it. */
@Serializable
public data class TaskView(
    val taskId: String,
    val team: String,
    val profile: String,
    val kind: String,
    val state: TaskState,
    val checkpointNumber: Long,
    val cancelRequested: Boolean,
    val failuresInARow: Int,
)

/** Routes for tasks. */
public class TaskRoutes(
    private val configuration: ConfigurationService,
    private val partitions: Partitions,
    private val decisions: CoroutineDispatcher,
    private val clock: MonotonicClock,
) {
    /** Adds the routes to [route]. */
    public fun install(route: Route) {
        route.post("/v1/tasks") { call.submit() }
        route.get("/v1/tasks/{taskId}") { call.show() }
        route.delete("/v1/tasks/{taskId}") { call.cancel() }
    }

    private suspend fun ApplicationCall.submit() {
        val result =
            receiveChecked().flatMap { body ->
                withContext(decisions) {
                    specificationOf(body).flatMap { specification ->
                        val deadline = clock.now().plusMillis(ANSWER_MILLIS)
                        partitions.of(specification.taskId).submit(specification, deadline).toView(specification.taskId)
                    }
                }
            }
        respondView(result)
    }

    /** A task without an identifier gets the idempotency key as its identifier, so a repeat creates no second task. */
    private suspend fun ApplicationCall.receiveChecked(): Either<ApiError, TaskBody> =
        receiveJson(TaskBody.serializer())
            .map { it.copy(taskId = it.taskId ?: request.headers["Idempotency-Key"] ?: UUID.randomUUID().toString()) }
            .onRight { record?.taskId = it.taskId }
            .flatMap { body ->
                checkNames("team" to body.team, "kind" to body.kind, "taskId" to body.taskId.orEmpty()).map { body }
            }

    private suspend fun ApplicationCall.show() = respondView(withContext(decisions) { viewOf(taskIdParameter()) })

    private suspend fun ApplicationCall.cancel() {
        val taskId = taskIdParameter()
        val deadline = clock.now().plusMillis(ANSWER_MILLIS)
        val result = withContext(decisions) { partitions.of(taskId).cancel(taskId, deadline).toView(taskId) }
        respondView(result)
    }

    private fun ApplicationCall.taskIdParameter(): TaskId =
        TaskId(parameters["taskId"].orEmpty()).also { record?.taskId = it.value }

    private suspend fun ApplicationCall.respondView(result: Either<ApiError, TaskView>) {
        when (result) {
            is Either.Left -> respondError(result.value)
            is Either.Right -> respondJson(TaskView.serializer(), result.value)
        }
    }

    private fun specificationOf(body: TaskBody): Either<ApiError, TaskSpecification> {
        val profile = configuration.view.profiles[ProfileName(body.profile)]?.profile
        return when (profile?.serviceClass) {
            null ->
                ApiError(
                    ResultCode.UNKNOWN_PROFILE,
                    "profile ${body.profile} does not exist; publish it first",
                ).left()

            ServiceClass.QUICK, ServiceClass.AT_MOST_ONCE ->
                ApiError(
                    ResultCode.INVALID_VALUE,
                    "profile ${body.profile} is for requests; tasks need one of class BATCH or STANDING",
                ).left()

            ServiceClass.BATCH, ServiceClass.STANDING -> body.checkedSize()
        }
    }

    private fun CallerAnswer.toView(taskId: TaskId): Either<ApiError, TaskView> =
        when (this) {
            is CallerAnswer.Submitted, is CallerAnswer.CancelRecorded -> viewOf(taskId)
            is CallerAnswer.Ended -> ApiError(outcome.code, outcome.describe()).left()
            is CallerAnswer.NotOwner ->
                ApiError(
                    ResultCode.INTERNAL,
                    "unexpected answer to a call for a task: this entry does not own its partition",
                ).left()
        }

    private fun viewOf(taskId: TaskId): Either<ApiError, TaskView> =
        partitions
            .of(taskId)
            .tasks[taskId]
            ?.toView()
            ?.right()
            ?: ApiError(ResultCode.NOT_FOUND, "task ${taskId.value} does not exist").left()

    private companion object {
        /** Longest wait until a submission or cancellation is read back from the log. */
        private const val ANSWER_MILLIS = 5_000L
    }
}

private fun TaskBody.checkedSize(): Either<ApiError, TaskSpecification> {
    val declared = Resources(milliCores, memoryMegabytes, accelerators)
    return if (milliCores <= 0 || memoryMegabytes <= 0 || accelerators < 0) {
        ApiError(
            ResultCode.INVALID_VALUE,
            "$declared is invalid; milliCores and memoryMegabytes must be positive, accelerators not negative",
        ).left()
    } else {
        TaskSpecification(
            taskId = TaskId(taskId.orEmpty()),
            team = TeamName(team),
            profile = ProfileName(profile),
            kind = WorkKind(kind),
            declared = declared,
            input = input,
        ).right()
    }
}

internal fun Task.toView(): TaskView =
    TaskView(
        taskId = id.value,
        team = specification.team.value,
        profile = specification.profile.value,
        kind = specification.kind.value,
        state = state,
        checkpointNumber = checkpoint.number,
        cancelRequested = cancelRequested,
        failuresInARow = failures.count,
    )
