/*
 * Sends the scheduler's effects to agents. What finds the queue of a connection full is kept and sent later, since the
 * scheduler repeats a command only over a new connection.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.Host
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.SchedulerEffect
import org.greengagepass.protocol.connection.FromScheduler

/** Sends effects of [scheduler] to the agents connected in [sessions]. */
internal class HostCommands(
    private val scheduler: JobScheduler,
    private val sessions: HostSessions,
) {
    /** Effects that found the queue of their connection full, in order. */
    private val waiting = HashMap<HostIncarnation, ArrayDeque<SchedulerEffect.ForHost>>()

    /**
     * Sends [effect], or keeps it while the queue of the host's connection is full. If the host is not connected, the
     * scheduler decides anew once it has reconnected.
     */
    fun perform(effect: SchedulerEffect.ForHost) {
        val earlier = waiting[effect.host]
        if (earlier != null) {
            earlier += effect
        } else if (!send(effect) && isDue(effect)) {
            waiting[effect.host] = ArrayDeque(listOf(effect))
        }
    }

    /** Sends effects that found the queue of their connection full. */
    fun performWaiting() {
        waiting.values.removeIf { effects ->
            while (effects.isNotEmpty() && (send(effects.first()) || !isDue(effects.first()))) effects.removeFirst()
            effects.isEmpty()
        }
    }

    /** Sends [effect] if it is due. Returns true if it was sent. */
    fun send(effect: SchedulerEffect.ForHost): Boolean = isDue(effect) && sessions.send(effect.host, messageOf(effect))

    /** True if the host is connected and, for a start, the run is still placed there and not to be stopped. */
    private fun isDue(effect: SchedulerEffect.ForHost): Boolean =
        sessions.isConnected(effect.host) &&
            (effect !is SchedulerEffect.Start || hostOf(effect)?.mayStart(effect.command.run) == true)

    private fun messageOf(effect: SchedulerEffect.ForHost): FromScheduler =
        when (effect) {
            is SchedulerEffect.Start ->
                FromScheduler.Start(effect.host, effect.command, hostOf(effect)?.leaseUntilHostClock ?: 0)
            is SchedulerEffect.Stop -> FromScheduler.Stop(effect.host, effect.run)
            is SchedulerEffect.Throttle -> FromScheduler.Throttle(effect.host, effect.run, effect.percent)
            is SchedulerEffect.AcknowledgeEnds -> FromScheduler.AcknowledgeEnds(effect.host, effect.through)
        }

    private fun hostOf(effect: SchedulerEffect.ForHost): Host? = scheduler.state.hosts[effect.host]

    /** Drops the effects that wait for an earlier connection of [incarnation]. */
    fun forget(incarnation: HostIncarnation) {
        waiting.remove(incarnation)
    }
}
