/*
 * Models the agent of one host and its connection to a leader. It may be cut off, paused with messages unread, or start
 * again without any memory.
 */
package org.greengagepass.core.process.jobs

import kotlin.random.Random

/** A message of a leader to an agent. */
internal sealed class ToAgent {
    data class Welcome(
        val epoch: Int,
    ) : ToAgent()

    data class Grant(
        val incarnation: HostIncarnation,
        val leaseUntil: Long,
    ) : ToAgent()

    data class Acknowledge(
        val incarnation: HostIncarnation,
        val through: Long,
    ) : ToAgent()

    data class Start(
        val incarnation: HostIncarnation,
        val run: TaskRun,
        val leaseUntil: Long,
    ) : ToAgent()

    data class Stop(
        val incarnation: HostIncarnation,
        val run: TaskRun,
    ) : ToAgent()
}

/** A message of an agent to a leader. */
internal sealed class ToLeader {
    data class Hello(
        val description: HostDescription,
    ) : ToLeader()

    data class Described(
        val description: HostDescription,
    ) : ToLeader()

    data class Gone(
        val incarnation: HostIncarnation,
    ) : ToLeader()

    data class Silent(
        val incarnation: HostIncarnation,
    ) : ToLeader()

    data class Report(
        val report: HostReport,
    ) : ToLeader()

    data class StartAnswered(
        val result: StartResult,
    ) : ToLeader()

    data class StopAnswered(
        val result: StopResult,
    ) : ToLeader()
}

/** A connection. Each direction keeps its order; what the agent sent before it closed can still be read. */
internal class SessionModel(
    val leader: LeaderModel,
    now: Long,
    private val random: Random,
) {
    val toLeader = ArrayDeque<Pair<Long, ToLeader>>()
    val toAgent = ArrayDeque<Pair<Long, ToAgent>>()
    var isClosedByAgent = false
    var isClosedByLeader = false
    var agentActiveAt = now
    var leaderActiveAt = now

    fun sendToLeader(
        message: ToLeader,
        now: Long,
    ) {
        toLeader += maxOf(now + random.nextLong(40), toLeader.lastOrNull()?.first ?: 0) to message
    }

    fun sendToAgent(
        message: ToAgent,
        now: Long,
    ) {
        toAgent += maxOf(now + random.nextLong(40), toAgent.lastOrNull()?.first ?: 0) to message
    }

    companion object {
        const val SILENCE_MILLIS = 1_200L
    }
}

/** The agent beside [executor]. [leaders] lists the leaders that it may find, the newest last. */
internal class AgentModel(
    private val executor: ExecutorModel,
    private val random: Random,
    private val leaders: () -> List<LeaderModel>,
) {
    var cutUntil = 0L
    var pausedUntil = 0L
    private var downUntil = 0L
    private var now = 0L
    private var process = ProcessModel()

    /** Delay after which the agent hears of a new leader. */
    var hearsOfLeaderAt = 0L

    fun restart(downMillis: Long) {
        process.session?.isClosedByAgent = true
        process = ProcessModel()
        downUntil = now + downMillis
    }

    fun advance(millis: Long) {
        now = millis
        if (now < pausedUntil || now < downUntil) {
            if (now < downUntil) executor.announcements.removeAll { it.first <= now }
            return
        }
        process.advance()
    }

    private inner class ProcessModel {
        var session: SessionModel? = null
        private var isWelcome = false
        private var nextDialAt = 0L
        private var highestEpoch = 0
        private var newest: Announcement? = null
        private var deregistered: HostIncarnation? = null
        private var lease: LeaseModel? = null
        private var pollNumber = 0L
        private val commands = ArrayList<CommandModel>()
        private val answers = ArrayList<() -> Unit>()
        private var leaderSeenAt = 0L

        fun advance() {
            hear()
            answers.toList().also { answers.clear() }.forEach { it() }
            keepSession()
            val reachable = session?.takeIf { now >= cutUntil && isWelcome }
            reachable?.agentActiveAt = now
            readMessages()
            lease?.let { poll(it) }
            commands.toList().forEach { it.advance() }
            commands.removeAll { it.isFinished }
            val gone = deregistered
            if (gone != null && (!executor.isUp || executor.incarnation != gone)) {
                send(ToLeader.Gone(gone))
                deregistered = null
            }
        }

        private fun hear() {
            val heard = executor.announcements.filter { it.first <= now }.map { it.second }
            executor.announcements.removeAll { it.first <= now }
            heard.forEach { if (it.isDeregistration) deregister(it) else beat(it) }
        }

        private fun beat(heard: Announcement) {
            val previous = newest
            val incarnation = heard.description.incarnation
            if (deregistered == incarnation || (previous != null && isNewer(previous, heard))) return
            newest = heard
            if (previous?.description == heard.description) return
            send(ToLeader.Described(heard.description))
            if (previous != null && previous.description.incarnation != incarnation && isWelcome) follow()
        }

        private fun isNewer(
            one: Announcement,
            other: Announcement,
        ): Boolean {
            val start = one.description.incarnation.startedAtEpochMillis
            val otherStart = other.description.incarnation.startedAtEpochMillis
            return start > otherStart || (start == otherStart && one.sequence > other.sequence)
        }

        private fun deregister(heard: Announcement) {
            val known = newest?.description ?: return
            if (known.incarnation != heard.description.incarnation || !known.isDraining) return
            deregistered = known.incarnation
        }

        private fun keepSession() {
            val open = session
            if (open != null) {
                if (now >= cutUntil) leaderSeenAt = maxOf(leaderSeenAt, open.leaderActiveAt)
                val isSilent = now - leaderSeenAt > SessionModel.SILENCE_MILLIS
                val newestLeader = leaders().last()
                val knowsLater = isWelcome && newestLeader.epoch > open.leader.epoch && now >= hearsOfLeaderAt
                if (open.isClosedByLeader || isSilent || knowsLater) closeSession()
            } else if (newest != null && now >= nextDialAt && now >= cutUntil) {
                dial()
            }
        }

        private fun closeSession() {
            session?.isClosedByAgent = true
            session = null
            isWelcome = false
            lease = null
            nextDialAt = now + random.nextLong(60, 120)
        }

        private fun dial() {
            nextDialAt = now + 100
            val active = leaders().filter { it.isActive }.takeLast(2)
            val leader = if (random.nextInt(4) == 0) active.firstOrNull() else active.lastOrNull()
            val description = newest?.description ?: return
            leaderSeenAt = now
            session = leader?.accept(now)?.also { it.sendToLeader(ToLeader.Hello(description), now) }
        }

        private fun readMessages() {
            while (now >= cutUntil) {
                val first = session?.toAgent?.firstOrNull()?.takeIf { it.first <= now } ?: return
                session?.toAgent?.removeFirst()
                receive(first.second)
            }
        }

        private fun receive(message: ToAgent) {
            when (message) {
                is ToAgent.Welcome -> welcome(message.epoch)
                is ToAgent.Grant ->
                    lease?.takeIf { it.incarnation == message.incarnation }?.leaseUntil = message.leaseUntil
                is ToAgent.Acknowledge ->
                    lease?.takeIf { it.incarnation == message.incarnation }?.acknowledged = message.through
                is ToAgent.Start ->
                    commands +=
                        CommandModel(
                            call =
                                ExecutorCall.Start(
                                    message.incarnation,
                                    highestEpoch,
                                    message.run,
                                    message.leaseUntil,
                                ),
                            run = message.run,
                        )
                is ToAgent.Stop ->
                    commands +=
                        CommandModel(
                            call = ExecutorCall.Stop(message.incarnation, highestEpoch, message.run),
                            run = message.run,
                        )
            }
        }

        private fun welcome(epoch: Int) {
            if (epoch < highestEpoch) return closeSession()
            highestEpoch = epoch
            isWelcome = true
            newest?.let { send(ToLeader.Described(it.description)) }
            follow()
        }

        private fun follow() {
            lease = newest?.let { LeaseModel(it.description.incarnation, highestEpoch) }
        }

        private fun send(message: ToLeader) {
            session?.takeIf { isWelcome }?.sendToLeader(message, maxOf(now, cutUntil))
        }

        private fun poll(current: LeaseModel) {
            if (now < current.nextPollAt) return
            pollNumber += 1
            val number = pollNumber
            if (current.isWaiting) send(ToLeader.Silent(current.incarnation))
            current.isWaiting = true
            current.nextPollAt = now + 900
            val call =
                ExecutorCall.Poll(current.incarnation, current.epoch, current.leaseUntil, current.acknowledged)
            executor.call(call) { answer -> answers += { polled(current, number, answer) } }
        }

        private fun polled(
            current: LeaseModel,
            number: Long,
            answer: ExecutorAnswer,
        ) {
            if (lease !== current || number != pollNumber || answer !is ExecutorAnswer.Polled) return
            current.isWaiting = false
            current.nextPollAt = now + random.nextLong(60, 400)
            send(
                ToLeader.Report(
                    HostReport(current.incarnation, number, answer.clock, answer.running, answer.ends),
                ),
            )
        }

        private fun isCurrent(call: ExecutorCall): Boolean =
            lease?.let { it.incarnation == call.incarnation && it.epoch == call.epoch } ?: false

        /** Repeats a command until it is answered, as long as its leader and incarnation are current. */
        private inner class CommandModel(
            private var call: ExecutorCall,
            private val run: TaskRun,
        ) {
            var isFinished = false
            private val isStart = call is ExecutorCall.Start
            private var mayHaveStarted = false
            private var nextTryAt = 0L
            private var tries = 0

            fun advance() {
                if (!isFinished && now >= nextTryAt) attempt()
            }

            private fun attempt() {
                if (!isCurrent(call)) {
                    isFinished = true
                    return
                }
                if (call is ExecutorCall.Start) {
                    if (tries > 0) mayHaveStarted = true
                    if (newest?.description?.isDraining != false) return refused(StartOutcome.UNAVAILABLE)
                }
                tries += 1
                nextTryAt = now + 500
                val number = tries
                executor.call(call) { answer -> answers += { if (!isFinished && number == tries) answered(answer) } }
            }

            private fun answered(answer: ExecutorAnswer) {
                when (answer) {
                    is ExecutorAnswer.Started -> startAnswered(answer.outcome)
                    is ExecutorAnswer.Stopped -> finish(StartOutcome.SUPERSEDED)
                    is ExecutorAnswer.Fenced -> nextTryAt = now + 100
                    is ExecutorAnswer.Polled -> error("a command is answered like a poll")
                }
            }

            private fun startAnswered(outcome: StartOutcome) {
                if (outcome == StartOutcome.STARTED || outcome == StartOutcome.SUPERSEDED) {
                    finish(outcome)
                } else {
                    refused(outcome)
                }
            }

            private fun refused(outcome: StartOutcome) {
                if (!mayHaveStarted) return finish(outcome)
                call = ExecutorCall.Stop(call.incarnation, call.epoch, run)
                tries += 1
                nextTryAt = now
            }

            private fun finish(outcome: StartOutcome) {
                isFinished = true
                if (isStart) {
                    send(ToLeader.StartAnswered(StartResult(call.incarnation, run, outcome, pollNumber)))
                } else {
                    send(ToLeader.StopAnswered(StopResult(call.incarnation, run, pollNumber)))
                }
            }
        }
    }

    private class LeaseModel(
        val incarnation: HostIncarnation,
        val epoch: Int,
    ) {
        var leaseUntil: Long? = null
        var acknowledged = 0L
        var nextPollAt = 0L
        var isWaiting = false
    }
}
