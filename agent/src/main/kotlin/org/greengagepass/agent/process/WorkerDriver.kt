/*
 * Makes the calls to the worker that the supervisor decides on, and passes their results back to it. Runs on the
 * agent's single thread.
 */
package org.greengagepass.agent.process

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.protocol.connection.TaskCommand
import org.greengagepass.services.process.PlatformError
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.WorkerReport
import org.greengagepass.services.process.WorkerService

private const val ATTACH_RETRY_MILLIS = 200L

/** Calls [worker] as agent [incarnation] and notifies [observer]. */
internal class WorkerDriver(
    private val scope: CoroutineScope,
    private val worker: WorkerService,
    private val incarnation: Incarnation,
    private val supervisor: TaskSupervisor,
    private val observer: WorkerObserver,
) {
    private val refreshMutex = Mutex()
    private var attached = false

    /** The worker's last report, or null before the first. */
    var newestReport: WorkerReport? = null
        private set

    /** Attaches to the worker. Retries until the worker answers or refuses because a newer agent has attached. */
    suspend fun attach() {
        while (!attached) {
            call("attach") { worker.attach(incarnation) }.fold(
                { error ->
                    if (error.isStaleIncarnation()) return observer.replaced()
                    delay(ATTACH_RETRY_MILLIS)
                },
                { report ->
                    attached = true
                    newestReport = report
                    supervisor.attached(report)
                    observer.eventsChanged()
                },
            )
        }
    }

    /** Reads the worker's state. Concurrent calls run one after the other. */
    suspend fun refresh() =
        refreshMutex.withLock {
            if (!attached) return@withLock
            call("report") { worker.report(incarnation) }.fold(::onReportFailure) { report ->
                newestReport = report
                supervisor.reported(report)
                observer.eventsChanged()
            }
        }

    /** Makes the calls of [actions] concurrently, so that a slow one does not block the others. */
    fun carryOut(actions: List<WorkerAction>) {
        actions.forEach { action -> scope.launch { carryOut(action) } }
    }

    /** Checkpoints the attempts with [tokens], which continue to run. */
    suspend fun checkpointAll(tokens: List<FencingToken>) = tokens.forEach { checkpoint(it) }

    private suspend fun carryOut(action: WorkerAction) {
        when (action) {
            is WorkerAction.Start ->
                supervisor.started(action.start, call("start") { worker.start(incarnation, action.start) })
            is WorkerAction.Renew ->
                call("renew") { worker.renew(incarnation, action.tokens, action.leaseDeadline) }
            is WorkerAction.Command -> carryOut(action.command)
            is WorkerAction.Forget ->
                call("forget") { worker.forget(incarnation, action.tokens) }
        }
        observer.eventsChanged()
    }

    private suspend fun carryOut(command: TaskCommand) {
        when (command) {
            is TaskCommand.Evict -> if (checkpoint(command.token)) stop(command.token)
            is TaskCommand.Stop -> stop(command.token)
            is TaskCommand.TakeCheckpoint -> checkpoint(command.token)
            is TaskCommand.Throttle ->
                call("throttle") { worker.throttle(incarnation, command.token, command.permille) }
        }
    }

    /** Returns true if the attempt reached a checkpoint. */
    private suspend fun checkpoint(token: FencingToken): Boolean =
        call("checkpoint") { worker.checkpoint(incarnation, token) }
            .onRight { supervisor.checkpointed(token, it) }
            .isRight()

    private suspend fun stop(token: FencingToken) {
        call("stop") { worker.stop(incarnation, token) }
        refresh()
    }

    private suspend fun <T> call(
        operation: String,
        block: suspend () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        val answer = block()
        observer.called(operation, answer.leftOrNull())
        return answer
    }

    /** Attaches again if the worker has restarted or a newer agent has attached, in which case [attach] is refused. */
    private fun onReportFailure(error: PlatformError) {
        if (error.isStaleIncarnation() && attached) {
            attached = false
            scope.launch { attach() }
        }
    }
}

/** Checkpoints the attempts of [tokens] every [intervalMillis], which bounds the work lost when the host fails. */
internal suspend fun WorkerDriver.checkpointEvery(
    intervalMillis: Long,
    tokens: () -> List<FencingToken>,
) {
    while (true) {
        delay(intervalMillis)
        checkpointAll(tokens())
    }
}

/** Receives notifications of the driver. */
internal interface WorkerObserver {
    /** Called after events for the owner may have been added. */
    fun eventsChanged()

    /** Called when a newer agent has attached to the worker, so that this one is obsolete. */
    fun replaced()

    /** Called after a call of [operation], with [error] if it failed. */
    fun called(
        operation: String,
        error: PlatformError?,
    )
}

private fun PlatformError.isStaleIncarnation() =
    this is PlatformError.Refused && reason == RefusalReason.STALE_INCARNATION
