/*
 * One leadership: it runs the scheduler, writes its state, and talks to agents and entries, until the store says that
 * another one has begun. Confined to the process's decision dispatcher.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.process.jobs.JobConfiguration
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.SchedulerBatch
import org.greengagepass.core.process.jobs.SchedulerEffect
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.JobRequest
import org.greengagepass.protocol.connection.SchedulerDialer
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.Leadership
import org.greengagepass.services.process.StateStore

/** What a leadership needs of its process. */
public class LeaderContext(
    public val scope: CoroutineScope,
    public val store: StateStore,
    public val clock: () -> Moment,
    /** The configuration, or null before the first and while it is not known to be the newest. */
    public val configuration: () -> JobConfiguration?,
    public val decisions: DecisionLog,
)

/** Leads by [leadership] with [scheduler]. */
public class Leader(
    public val leadership: Leadership,
    private val scheduler: JobScheduler,
    private val writer: StateWriter,
    private val proof: FreshnessProof,
    private val context: LeaderContext,
) {
    private val sessions = HostSessions()
    private val messages = HostMessages(scheduler, sessions) { context.clock() }
    private val calls = HashMap<Long, (JobReply) -> Unit>()
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val ended = CompletableDeferred<Unit>()
    private var lastCall = 0L
    private var isWriting = false

    /** True while the leadership lasts. */
    public val isActive: Boolean
        get() = !ended.isCompleted

    /** False while the store does not answer. */
    public val canStore: Boolean
        get() {
            val since = writer.writingSince ?: return true
            return context.clock().now.millisSince(since) < STORE_TROUBLE_MILLIS
        }

    /** Leads until another leadership has begun or [end] is called. */
    public suspend fun run() {
        while (isActive) {
            step()
            withTimeoutOrNull(TICK_MILLIS) { signal.receive() }
            delay(GATHER_MILLIS)
        }
        sessions.closeAll()
    }

    /** Ends the leadership. */
    public fun end() {
        ended.complete(Unit)
        signal.trySend(Unit)
    }

    /** Handles [request]; [reply] gets the answer, if there is one before the leadership ends. */
    public fun execute(
        request: JobRequest,
        reply: (JobReply) -> Unit,
    ) {
        val moment = context.clock()
        if (request is JobRequest.Submit && !canStore && scheduler.state.jobs[request.id] == null) {
            reply(JobReply.NotRun(RETRY_MILLIS, "the store does not answer"))
            return
        }
        lastCall += 1
        calls[lastCall] = reply
        when (request) {
            is JobRequest.Submit ->
                scheduler.callers.submit(lastCall, request.id, request.queue, request.specification, moment)
            is JobRequest.Cancel -> scheduler.callers.cancel(lastCall, request.id, moment)
            is JobRequest.Find -> scheduler.callers.find(lastCall, request.id)
            is JobRequest.CountPending -> scheduler.callers.countPending(lastCall, request.queue)
        }
        perform(scheduler.takeImmediate())
        signal.trySend(Unit)
    }

    /** Serves a connection that began with [hello] until it ends. */
    internal suspend fun serve(
        session: SchedulerSession,
        hello: ToScheduler,
    ) {
        session.send(FromScheduler.Welcome(leadership.epoch))
        handle(session, hello)
        var message = next(session)
        while (message != null && isActive) {
            handle(session, message)
            message = next(session)
        }
        sessions.detach(session).forEach { scheduler.hosts.disconnected(it) }
        signal.trySend(Unit)
    }

    private suspend fun next(session: SchedulerSession): ToScheduler? =
        withTimeoutOrNull(SchedulerDialer.SILENCE_MILLIS) { session.receive().getOrNull() }

    private fun handle(
        session: SchedulerSession,
        message: ToScheduler,
    ) {
        when (message) {
            is ToScheduler.Request -> execute(message.request) { session.send(FromScheduler.Reply(message.number, it)) }
            is ToScheduler.Ping -> session.send(FromScheduler.Pong(canStore))
            is ToScheduler.EntryHello -> Unit
            else -> {
                messages.handle(session, message, proof.isValid(context.clock()))
                signal.trySend(Unit)
            }
        }
    }

    private fun step() {
        val moment = context.clock()
        val configuration = context.configuration()
        configuration?.let { scheduler.configure(it) }
        scheduler.tick(moment, mayStart = configuration != null && proof.isValid(moment))
        perform(scheduler.takeImmediate())
        if (isWriting) return
        val batch = scheduler.takeBatch()
        when {
            batch != null && batch.change.records.isEmpty() -> finish(batch)
            batch != null -> write(batch)
            moment.now.millisSince(writer.lastSuccessAt) >= PROOF_MILLIS -> write(null)
        }
    }

    /** Without a batch the leadership itself is written again, which proves it and shows others that it lasts. */
    private fun write(batch: SchedulerBatch?) {
        isWriting = true
        context.scope.launch {
            val records = batch?.change?.records ?: listOf(context.store.leadershipRecord(leadership))
            if (writer.write(records)) batch?.let(::finish) else end()
            isWriting = false
            signal.trySend(Unit)
        }
    }

    private fun finish(batch: SchedulerBatch) {
        scheduler.stored(batch)
        if (isActive) perform(batch.effects)
    }

    private fun perform(effects: List<SchedulerEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is SchedulerEffect.Reply -> calls.remove(effect.number)?.invoke(effect.reply)
                is SchedulerEffect.LogDecision -> context.decisions.write(effect.decision, leadership.epoch)
                is SchedulerEffect.Start -> messages.start(effect)
                is SchedulerEffect.Stop ->
                    sessions.send(effect.host, FromScheduler.Stop(effect.host, effect.run))
                is SchedulerEffect.Throttle ->
                    sessions.send(effect.host, FromScheduler.Throttle(effect.host, effect.run, effect.percent))
                is SchedulerEffect.AcknowledgeEnds ->
                    sessions.send(effect.host, FromScheduler.AcknowledgeEnds(effect.host, effect.through))
            }
        }
    }

    private companion object {
        /** Longest time between looks at what time brings. */
        private const val TICK_MILLIS = 40L

        /** Messages that come within this time are stored together. */
        private const val GATHER_MILLIS = 4L

        /** A leader shows that it lasts three times within the time after which others take over. */
        private const val PROOF_MILLIS = 400L

        /** Ten times the time of a usual append and its first repeat. */
        private const val STORE_TROUBLE_MILLIS = 600L
        private const val RETRY_MILLIS = 1_000L
    }
}
