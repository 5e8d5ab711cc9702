/*
 * One period of leadership: runs the scheduler, writes its state, and exchanges messages with agents and entries until
 * the store reports that another leadership has begun. Confined to the process's decision dispatcher.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Epoch
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

/** The collaborators that a [Leader] gets from its process. */
public class LeaderContext(
    public val scope: CoroutineScope,
    public val store: StateStore,
    public val clock: () -> Moment,
    /** The configuration; null until one has been read and while a newer one may exist. */
    public val configuration: () -> JobConfiguration?,
    public val decisions: DecisionLog,
    /** The highest epoch known to this process. */
    public val newestEpoch: () -> Epoch,
)

/** Leads during [leadership]: [scheduler] decides, and [writer] stores its decisions. */
public class Leader(
    public val leadership: Leadership,
    private val scheduler: JobScheduler,
    private val writer: StateWriter,
    private val confirmation: Confirmation,
    private val context: LeaderContext,
) {
    private val sessions = HostSessions()
    private val commands = HostCommands(scheduler, sessions)
    private val messages = HostMessages(scheduler, sessions, commands) { context.clock() }
    private val unconfirmed = UnconfirmedRequests(confirmation)
    private val pendingReplies = HashMap<Long, (JobReply) -> Unit>()
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val ended = CompletableDeferred<Unit>()
    private var lastCall = 0L
    private var isWriting = false

    /** Set to ask the other entries to replace this leader, which leads on until one of them does. */
    public var isHandingOver: Boolean = false

    /** True while the leadership lasts. */
    public val isActive: Boolean
        get() = !ended.isCompleted

    /** False while appends to the store get no answer. */
    public val isStoreAvailable: Boolean
        get() {
            val since = writer.writingSince ?: return true
            return context.clock().now.millisSince(since) < STORE_UNAVAILABLE_MILLIS
        }

    private val isConfirmed: Boolean
        get() = confirmation.isValid(context.clock())

    /** Leads until another leadership has begun or [end] is called. An unexpected error ends the leadership too. */
    public suspend fun run() {
        try {
            while (isActive) {
                step()
                withTimeoutOrNull(TICK_MILLIS) { signal.receive() }
                delay(BATCHING_MILLIS)
            }
        } finally {
            end()
            sessions.closeAll()
        }
    }

    /** Ends the leadership. */
    public fun end() {
        ended.complete(Unit)
        signal.trySend(Unit)
    }

    /** Handles [request]. [reply] gets the scheduler's reply unless the leadership ends first. */
    public fun execute(
        request: JobRequest,
        reply: (JobReply) -> Unit,
    ) {
        val moment = context.clock()
        val isKnown = request.job?.let { scheduler.state.jobs[it] } != null
        when {
            request is JobRequest.Submit && !isStoreAvailable && !isKnown ->
                reply(JobReply.NotRun(RETRY_MILLIS, "the state store is unavailable"))
            request is JobRequest.Find && !isConfirmed && !isKnown ->
                reply(JobReply.Uncertain("a later leader may know the job"))
            request is JobRequest.Cancel && !isKnown -> {
                unconfirmed.add(UnconfirmedRequest(request, moment, reply))
                signal.trySend(Unit)
            }
            else -> decide(request, reply, moment)
        }
    }

    private fun decide(
        request: JobRequest,
        reply: (JobReply) -> Unit,
        moment: Moment,
    ) {
        lastCall += 1
        pendingReplies[lastCall] = reply
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

    /** Serves [session], whose first message was [hello], until it ends. */
    internal suspend fun serve(
        session: SchedulerSession,
        hello: ToScheduler,
    ) {
        session.send(FromScheduler.Welcome(leadership.epoch))
        var message: ToScheduler? = hello
        while (message != null && isActive) {
            handle(session, message)
            message = withTimeoutOrNull(SchedulerDialer.SILENCE_MILLIS) { session.receive().getOrNull() }
        }
        sessions.detach(session)?.let { scheduler.hosts.disconnected(it) }
        signal.trySend(Unit)
    }

    private fun handle(
        session: SchedulerSession,
        message: ToScheduler,
    ) {
        when (message) {
            is ToScheduler.Request ->
                execute(message.request) { session.sendOrClose(FromScheduler.Reply(message.number, it)) }
            is ToScheduler.Ping -> session.send(FromScheduler.Pong(isStoreAvailable && !isHandingOver))
            is ToScheduler.EntryHello -> Unit
            else -> {
                messages.handle(session, message, confirmation.isValid(context.clock()))
                signal.trySend(Unit)
            }
        }
    }

    private fun step() {
        if (context.newestEpoch() > leadership.epoch) return end()
        commands.performWaiting()
        val moment = context.clock()
        val configuration = context.configuration()
        configuration?.let { scheduler.configure(it) }
        // Without a confirmation another leader may have extended leases, so nothing can be concluded from their times.
        if (confirmation.isValid(moment)) scheduler.tick(moment, mayStart = configuration != null)
        perform(scheduler.takeImmediate())
        unconfirmed.takeConfirmed().forEach { decide(it.request, it.reply, moment) }
        if (isWriting) return
        val batch = scheduler.takeBatch()
        when {
            batch != null && batch.change.records.isEmpty() -> finish(batch)
            batch != null -> write(batch)
            unconfirmed.isWaiting || !isConfirmed || moment.now.millisSince(
                writer.lastSuccessAt,
            ) >= RENEWAL_MILLIS -> write(null)
        }
    }

    /**
     * Stores [batch]. Without a batch it writes the leadership record again: the store confirms that no other leader
     * has begun, and other entries see that this one is alive.
     */
    private fun write(batch: SchedulerBatch?) {
        isWriting = true
        context.scope.launch {
            val records = batch?.change?.records ?: listOf(context.store.leadershipRecord(leadership))
            var isStored = false
            try {
                isStored = writer.write(records) { isActive }
                if (isStored) batch?.let(::finish)
            } finally {
                if (!isStored) end()
                isWriting = false
                signal.trySend(Unit)
            }
        }
    }

    private fun finish(batch: SchedulerBatch) {
        scheduler.stored(batch)
        if (isActive) perform(batch.effects)
    }

    private fun perform(effects: List<SchedulerEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is SchedulerEffect.Reply -> pendingReplies.remove(effect.number)?.invoke(effect.reply)
                is SchedulerEffect.LogDecision -> context.decisions.write(effect.decision, leadership.epoch)
                is SchedulerEffect.ForHost -> commands.perform(effect)
            }
        }
    }

    private companion object {
        /** Longest time between two steps of the scheduler. */
        private const val TICK_MILLIS = 40L

        /** Changes by messages that arrive within this time are stored in one append. */
        private const val BATCHING_MILLIS = 4L

        /** A leader writes its leadership three times within the time after which another entry takes over. */
        private const val RENEWAL_MILLIS = 400L

        /** Ten times the time that a usual append and its first retry take. */
        private const val STORE_UNAVAILABLE_MILLIS = 600L
        private const val RETRY_MILLIS = 1_000L
    }
}
