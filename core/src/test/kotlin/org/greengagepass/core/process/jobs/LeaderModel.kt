/*
 * Models a leader with the scheduler under test. It may be paused, so that messages queue up, or without the store, and
 * goes on after its successor has begun until it learns of it.
 */
package org.greengagepass.core.process.jobs

import kotlin.random.Random

/** What leaders share. */
internal interface StoreModel : EventLog {
    val newestEpoch: Int
    val isAvailable: Boolean

    fun write(records: List<StateRecord>)

    fun report(violation: String)
}

/** The leader of [epoch]. */
internal class LeaderModel(
    val epoch: Int,
    jobs: List<Job>,
    startedAt: Long,
    private val store: StoreModel,
    private val random: Random,
) {
    var isActive = true
        private set
    var pausedUntil = 0L
    private val scheduler = JobScheduler(SETTINGS, JobTable(jobs), moment(startedAt).now)
    private val connections = HostConnections<SessionModel>()
    private val sessions = ArrayList<SessionModel>()
    private var now = startedAt
    private var confirmedAt = startedAt
    private var writing: WriteModel? = null

    private val isConfirmed: Boolean
        get() = now - confirmedAt < SETTINGS.leadershipMillis

    fun submit(
        id: JobId,
        specification: JobSpecification,
    ) = scheduler.callers.submit(0, id, queue(attemptsMaximum = 100), specification, moment(now))

    fun accept(millis: Long): SessionModel = SessionModel(this, millis, random).also { sessions += it }

    fun end() {
        store.log(null) { "leader $epoch ends" }
        isActive = false
        sessions.forEach { it.isClosedByLeader = true }
    }

    fun advance(millis: Long) {
        if (!isActive || millis < pausedUntil) return
        now = millis
        sessions.shuffled(random).forEach { read(it) }
        sessions.removeAll { it.isClosedByLeader || (it.isClosedByAgent && it.toLeader.isEmpty()) }
        if (store.newestEpoch > epoch && random.nextInt(100) == 0) end()
        if (isActive) finishWrite()
        if (isActive) decide()
    }

    private fun decide() {
        if (isConfirmed) scheduler.tick(moment(now), mayStart = true)
        scheduler.takeImmediate().filterIsInstance<SchedulerEffect.LogDecision>().map { it.decision }.forEach {
            store.log(it.run?.task) { "leader $epoch: ${it.name} ${it.run?.number} ${it.host} ${it.detail}" }
        }
        if (writing == null) startWrite()
    }

    private fun read(session: SessionModel) {
        session.leaderActiveAt = now
        // A backlog is read in parts, between which other connections are read and decisions are made.
        repeat(random.nextInt(1, 6)) {
            val (at, message) = session.toLeader.firstOrNull() ?: return@repeat
            if (at <= now) {
                session.toLeader.removeFirst()
                session.agentActiveAt = maxOf(session.agentActiveAt, at)
                receive(session, message)
            }
        }
        val isIdle = session.toLeader.firstOrNull()?.let { it.first > now } ?: true
        val isSilent = isIdle && now - session.agentActiveAt > SessionModel.SILENCE_MILLIS
        if (isSilent || (session.isClosedByAgent && session.toLeader.isEmpty())) drop(session)
    }

    private fun drop(session: SessionModel) {
        session.isClosedByLeader = true
        connections.detach(session)?.let { scheduler.hosts.disconnected(it) }
    }

    private fun receive(
        session: SessionModel,
        message: ToLeader,
    ) {
        if (message is ToLeader.Hello) {
            session.sendToAgent(ToAgent.Welcome(epoch), now)
            return connect(session, message.description)
        }
        if (!connections.isCurrent(session)) return
        when (message) {
            is ToLeader.Hello -> Unit
            is ToLeader.Described -> describe(session, message.description)
            is ToLeader.Gone ->
                scheduler.hosts.incarnationEnded(message.incarnation, IncarnationEnd.DEREGISTERED, moment(now))
            is ToLeader.Silent -> scheduler.hosts.silent(message.incarnation, moment(now))
            is ToLeader.Report -> report(session, message.report)
            is ToLeader.StartAnswered -> scheduler.hosts.startAnswered(message.result, moment(now))
            is ToLeader.StopAnswered -> scheduler.hosts.stopAnswered(message.result)
        }
    }

    private fun connect(
        session: SessionModel,
        description: HostDescription,
    ) {
        val previous = connections.attach(description.incarnation, session)
        if (previous != null) {
            if (previous.connection !== session) previous.connection.isClosedByLeader = true
            if (previous.incarnation != description.incarnation) scheduler.hosts.disconnected(previous.incarnation)
        }
        scheduler.hosts.connected(description, moment(now))
        checkEarlierIncarnations(description.incarnation)
    }

    private fun describe(
        session: SessionModel,
        description: HostDescription,
    ) {
        if (connections[description.incarnation.host]?.incarnation == description.incarnation) {
            scheduler.hosts.descriptionChanged(description, moment(now))
        } else {
            connect(session, description)
        }
    }

    /** The tasks of an incarnation that is known to be gone have to wait for another start at once. */
    private fun checkEarlierIncarnations(incarnation: HostIncarnation) {
        if (scheduler.state.hosts.hasEnded(incarnation)) return
        val isEarlier = { other: HostIncarnation ->
            other.host == incarnation.host && other.startedAtEpochMillis < incarnation.startedAtEpochMillis
        }
        scheduler.state.hosts
            .all()
            .filter { isEarlier(it.incarnation) }
            .forEach { store.report("at $now ${it.incarnation} is kept beside $incarnation") }
        scheduler.state.jobs
            .all()
            .flatMap { it.tasks }
            .filter { task -> task.placedOn?.let(isEarlier) ?: false }
            .forEach { store.report("at $now ${it.key} is kept on an incarnation before $incarnation") }
    }

    private fun report(
        session: SessionModel,
        report: HostReport,
    ) {
        val until = scheduler.hosts.reportReceived(report, isConfirmed, moment(now)) ?: return
        session.sendToAgent(ToAgent.Grant(report.incarnation, until), now)
    }

    private fun startWrite() {
        val batch = scheduler.takeBatch()
        when {
            batch != null && batch.change.records.isEmpty() -> finish(batch)
            batch != null || now - confirmedAt >= RENEWAL_MILLIS -> {
                val isSlow = random.nextInt(40) == 0
                writing = WriteModel(batch, now, now + if (isSlow) random.nextLong(100, 2_000) else 0)
            }
        }
    }

    private fun finishWrite() {
        val write = writing?.takeIf { now >= it.doneAt && store.isAvailable } ?: return
        writing = null
        if (store.newestEpoch > epoch) end() else stored(write)
    }

    private fun stored(write: WriteModel) {
        confirmedAt = write.startedAt
        write.batch?.let {
            store.write(it.change.records)
            finish(it)
        }
    }

    private fun finish(batch: SchedulerBatch) {
        scheduler.stored(batch)
        batch.effects.forEach { perform(it) }
    }

    private fun perform(effect: SchedulerEffect) {
        when (effect) {
            is SchedulerEffect.Start -> start(effect)
            is SchedulerEffect.Stop -> send(effect.host, ToAgent.Stop(effect.host, effect.run))
            is SchedulerEffect.AcknowledgeEnds -> send(effect.host, ToAgent.Acknowledge(effect.host, effect.through))
            is SchedulerEffect.Throttle, is SchedulerEffect.Reply, is SchedulerEffect.LogDecision -> Unit
        }
    }

    private fun start(effect: SchedulerEffect.Start) {
        val host = scheduler.state.hosts[effect.host] ?: return
        val run = effect.command.run
        if (!host.mayStart(run)) return
        store.log(run.task) { "leader $epoch: sends start ${run.number} to ${effect.host}" }
        send(effect.host, ToAgent.Start(effect.host, run, host.leaseUntilHostClock))
    }

    private fun send(
        host: HostIncarnation,
        message: ToAgent,
    ) {
        connections[host.host]?.connection?.sendToAgent(message, now)
    }

    private data class WriteModel(
        val batch: SchedulerBatch?,
        val startedAt: Long,
        val doneAt: Long,
    )

    private companion object {
        private const val RENEWAL_MILLIS = 400L
    }
}
