/*
 * The platform's simulated worker on one host. It enforces tokens and deadlines, and reports every run to the checks in
 * Guarantees.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

internal class FakeAttempt(
    val taskId: TaskId,
    val token: FencingToken,
    var checkpoint: Checkpoint,
    var leaseDeadline: Timestamp,
) {
    var end: AttemptChange? = null
}

internal class FakeWorker(
    private val simulation: Simulation,
    private val guarantees: Guarantees,
    private val domainOutSince: (FailureDomainName) -> Long?,
    val host: HostId,
    val domain: FailureDomainName,
    val bootNumber: Long,
) {
    val clock = DriftingClock(simulation)
    val attempts = LinkedHashMap<FencingToken, FakeAttempt>()
    private val highestTokens = HashMap<TaskId, FencingToken>()
    var incarnation = 0L
    val running: Int
        get() = attempts.values.count { it.end == null }

    /** Ends attempts whose lease has expired. */
    fun endExpired() =
        attempts.values
            .filter { it.end == null && clock.read() >= it.leaseDeadline }
            .forEach { end(it, AttemptChange.Stopped(ReleaseReason.LEASE_ENDED, it.checkpoint)) }

    /** Starts an attempt; false if the worker refuses. */
    fun start(
        start: AttemptStart,
        startDeadline: Timestamp,
        leaseDeadline: Timestamp,
    ): Boolean {
        val highest = highestTokens[start.taskId] ?: FencingToken.NONE
        val isKnown = start.token in attempts
        val isStale = clock.read() > startDeadline || start.token < highest || running >= SLOTS
        if (!isKnown && !isStale) {
            run(start, leaseDeadline)
        }
        return isKnown || !isStale
    }

    fun renew(
        tokens: List<FencingToken>,
        deadline: Timestamp,
    ) = tokens
        .mapNotNull(attempts::get)
        .filter { it.end == null && it.leaseDeadline < deadline }
        .forEach { it.leaseDeadline = deadline }

    fun stop(
        token: FencingToken,
        reason: ReleaseReason,
    ) {
        val attempt = attempts[token]?.takeIf { it.end == null } ?: return
        end(attempt, AttemptChange.Stopped(reason, attempt.checkpoint))
    }

    fun evict(command: AttemptCommand.Evict) {
        val attempt = attempts[command.token]?.takeIf { it.end == null } ?: return
        advance(attempt)
        guarantees.evicted(command.token, attempt.checkpoint)
        stop(command.token, command.reason)
    }

    fun crash() = attempts.values.filter { it.end == null }.forEach { end(it, AttemptChange.Finished("crash")) }

    fun forget(token: FencingToken) {
        attempts.remove(token)
    }

    private fun run(
        start: AttemptStart,
        leaseDeadline: Timestamp,
    ) {
        val outSince = domainOutSince(domain)
        check(outSince == null || simulation.now - outSince <= 4_000) { "G4: ${start.taskId} starts in $domain" }
        highestTokens[start.taskId] = start.token
        guarantees.started(start.taskId, Guarantees.Run(host, start.token), bootNumber, start.resumeFrom)
        val attempt = FakeAttempt(start.taskId, start.token, start.resumeFrom, leaseDeadline)
        attempts[start.token] = attempt
        if (clock.read() >= leaseDeadline) endExpired() else simulation.every(700L) { progress(attempt, start.input) }
    }

    private fun progress(
        attempt: FakeAttempt,
        input: String,
    ): Boolean {
        endExpired()
        if (attempt.end == null) {
            when {
                input == CANNOT_RUN -> stop(attempt.token, ReleaseReason.FAILED)
                simulation.chance(percent = 3) -> stop(attempt.token, ReleaseReason.FAILED)
                attempt.checkpoint.number >= LAST_CHECKPOINT -> {
                    guarantees.finished(attempt.taskId)
                    end(attempt, AttemptChange.Finished("done"))
                }
                simulation.chance(percent = 45) -> advance(attempt)
            }
        }
        return attempt.end == null
    }

    private fun advance(attempt: FakeAttempt) {
        val number = attempt.checkpoint.number + 1
        attempt.checkpoint = Checkpoint(number, "$host-${attempt.token.value}-$number")
    }

    private fun end(
        attempt: FakeAttempt,
        change: AttemptChange,
    ) {
        attempt.end = change
        guarantees.ended(attempt.taskId, attempt.token)
    }

    companion object {
        const val SLOTS = 4
        private const val LAST_CHECKPOINT = 12
        const val CANNOT_RUN = "cannot run"
    }
}
