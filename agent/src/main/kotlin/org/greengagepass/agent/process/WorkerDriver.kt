/*
 * Makes the calls to the worker that the supervisor decides on, and hands back what came of them. Runs on the
 * agent's one thread.
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

/** Drives [worker] for [incarnation]. [eventsChanged] is called after events may have been added. */
internal class WorkerDriver(
    private val scope: CoroutineScope,
    private val worker: WorkerService,
    private val incarnation: Incarnation,
    private val supervisor: TaskSupervisor,
    private val observer: WorkerObserver,
) {
    private val reporting = Mutex()
    private var attached = false

    /** The worker's last report, or null before the first. */
    var newestReport: WorkerReport? = null
        private set

    /** Attaches to the worker; tries until it answers, or refuses since a newer agent has attached. */
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

    /** Reads the worker's state. Calls at the same time follow each other. */
    suspend fun refresh() =
        reporting.withLock {
            if (!attached) return@withLock
            call("report") { worker.report(incarnation) }.fold(::reportFailed) { report ->
                newestReport = report
                supervisor.reported(report)
                observer.eventsChanged()
            }
        }

    /** Makes the calls of [actions], each on its own, so that a slow one holds up no other. */
    fun carryOut(actions: List<WorkerAction>) {
        actions.forEach { action -> scope.launch { carryOut(action) } }
    }

    /** Checkpoints the attempts with [tokens], which run on. */
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

    /** True if the attempt reached a checkpoint. */
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

    /** A worker that was restarted has forgotten the agent; one that a newer agent attached to refuses this one. */
    private fun reportFailed(error: PlatformError) {
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

/** What the driver tells the agent. */
internal interface WorkerObserver {
    /** Events for the owner may have been added. */
    fun eventsChanged()

    /** A newer agent has attached to the worker; this one has nothing to do any more. */
    fun replaced()

    /** A call of [operation] ended, with [error] if it failed. */
    fun called(
        operation: String,
        error: PlatformError?,
    )
}

private fun PlatformError.isStaleIncarnation() =
    this is PlatformError.Refused && reason == RefusalReason.STALE_INCARNATION
