/*
 * Runs the owner of a partition: passes inputs with the current time to it, and carries out its decisions.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.BatchCodec
import org.greengagepass.core.HostId
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.BatchAtOffset
import org.greengagepass.core.process.CallerAnswer
import org.greengagepass.core.process.ClockReading
import org.greengagepass.core.process.OwnerConfiguration
import org.greengagepass.core.process.OwnerDecision
import org.greengagepass.core.process.OwnerIdentity
import org.greengagepass.core.process.OwnerInput
import org.greengagepass.core.process.OwnerSettings
import org.greengagepass.core.process.PartitionOwner
import org.greengagepass.core.process.PartitionState
import org.greengagepass.core.process.Snapshot
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.connection.AgentSession
import org.greengagepass.entry.connection.toMessage
import org.greengagepass.entry.request.CallerRequest
import org.greengagepass.entry.request.RequestRunner
import org.greengagepass.services.process.LogPage
import org.greengagepass.services.process.LogRecord
import org.greengagepass.services.process.LogService
import java.util.UUID

/** The collaborators that a partition gets from its process. */
public data class PartitionContext(
    public val scope: CoroutineScope,
    public val log: LogService,
    public val clock: MonotonicClock,
    public val epochMillis: () -> Long,
    public val sessionOf: (HostId) -> AgentSession?,
    public val requests: RequestRunner,
    public val identity: OwnerIdentity,
    public val settings: OwnerSettings,
    public val configuration: OwnerConfiguration,
    public val placement: PartitionPlacement,
)

/** Runs the owner of the partition in [stream], which starts with [state]. */
internal class OwnerLoop(
    private val stream: String,
    private val context: PartitionContext,
    private val snapshots: PartitionSnapshots,
    state: PartitionState,
) {
    /** Makes the decisions for the partition. */
    val owner =
        PartitionOwner(
            identity = context.identity,
            settings = context.settings,
            placement = context.placement.policy,
            configuration = context.configuration,
            state = state,
        )

    /** Oldest offset in the log once records before it have expired before they were read; null until then. */
    var restoreFrom: Long? = null
        private set
    private val callers = HashMap<RequestId, WaitingCaller>()

    /** Completes when the release of the partition is in the log. */
    val released = CompletableDeferred<Unit>()

    /** Passes [input] to the owner with the current time. */
    fun handle(input: OwnerInput) {
        val reading = ClockReading(context.clock.now(), context.epochMillis())
        owner.handle(input, reading).forEach(::carryOut)
    }

    /** Passes the current time to the owner, and evicts the tasks that placement has chosen for more urgent ones. */
    fun tick() {
        handle(OwnerInput.Tick)
        context.placement.policy
            .takeEvictions()
            .forEach { handle(OwnerInput.EvictTask(it)) }
    }

    /** Passes a page of the stream to the owner. Its read was sent at [readSentAt]. */
    fun onPage(
        page: LogPage,
        readSentAt: Timestamp,
    ) {
        handle(
            OwnerInput.PageRead(
                sentAt = readSentAt,
                fromOffset = owner.state.nextOffset,
                batches = page.records.mapNotNull { decodeTaskBatch(stream, it) },
                nextOffset = page.nextOffset,
                oldestOffset = page.oldestOffset,
            ),
        )
    }

    /** Passes the input that [input] creates for a new request identifier to the owner, and waits for the answer. */
    suspend fun awaitAnswer(
        request: CallerRequest? = null,
        input: (RequestId) -> OwnerInput,
    ): CallerAnswer {
        val requestId = RequestId(UUID.randomUUID().toString())
        val caller = WaitingCaller(request, CompletableDeferred())
        callers[requestId] = caller
        handle(input(requestId))
        return try {
            caller.answer.await()
        } finally {
            callers.remove(requestId)
        }
    }

    private fun carryOut(decision: OwnerDecision) {
        when (decision) {
            is OwnerDecision.Append -> context.scope.launch { append(decision) }
            is OwnerDecision.SendGrant -> sendGrant(decision)
            is OwnerDecision.DispatchPermitted -> context.scope.launch { dispatch(decision) }
            is OwnerDecision.AnswerCaller -> callers[decision.requestId]?.answer?.complete(decision.answer)
            is OwnerDecision.OwnershipGained -> logger.info("owner of {} in epoch {}", stream, decision.epoch.value)
            is OwnerDecision.OwnershipLost -> logger.info("{} now belongs to {}", stream, decision.address)
            is OwnerDecision.ReleaseRecorded -> released.complete(Unit)
            is OwnerDecision.WriteSnapshot -> writeSnapshot()
            is OwnerDecision.RestoreRequired -> requireRestore(decision)
        }
    }

    private suspend fun append(decision: OwnerDecision.Append) {
        val answer = context.log.append(stream, BatchCodec.TASKS.encode(decision.batch))
        if (answer is Either.Left) {
            logger.warn("append to {} failed: {}", stream, answer.value.detail)
        }
    }

    private fun sendGrant(decision: OwnerDecision.SendGrant) {
        context
            .sessionOf(decision.host)
            ?.takeIf { it.hello.incarnation == decision.incarnation }
            ?.send(decision.grant.toMessage())
    }

    private suspend fun dispatch(decision: OwnerDecision.DispatchPermitted) {
        val request = callers[decision.requestId]?.request
        val outcome = if (request == null) CALLER_GONE else context.requests.execute(request)
        handle(OwnerInput.RequestEnded(decision.key, decision.token, outcome))
    }

    /** Takes the snapshot now and writes it in the background, while the state may change further. */
    private fun writeSnapshot() {
        val chunks = Snapshot.take(owner.state, context.identity.entry.value)
        context.scope.launch { snapshots.write(chunks) }
    }

    private fun requireRestore(decision: OwnerDecision.RestoreRequired) {
        logger.error("records of {} before offset {} expired before they were read", stream, decision.oldestOffset)
        restoreFrom = decision.oldestOffset
        callers.values.forEach { it.answer.complete(CallerAnswer.Ended(RESTORING)) }
    }

    private class WaitingCaller(
        val request: CallerRequest?,
        val answer: CompletableDeferred<CallerAnswer>,
    )

    private companion object {
        private val logger = LogManager.getLogger(OwnerLoop::class.java)
        private val RESTORING =
            RequestOutcome.Unknown(
                ResultCode.APPEND_NOT_CONFIRMED,
                "the state of the partition is being restored from a snapshot",
            )
        private val CALLER_GONE =
            RequestOutcome.NotRun(
                ResultCode.DEADLINE_EXPIRED,
                "the caller closed the call before the request was dispatched",
            )
    }
}

/** The batch in [record] of [stream]. Logs an unreadable record and returns null for it. */
internal fun decodeTaskBatch(
    stream: String,
    record: LogRecord,
): BatchAtOffset? =
    BatchCodec.TASKS.decode(record.payload).fold(
        { error ->
            LogManager
                .getLogger(OwnerLoop::class.java)
                .error("unreadable record in {} at offset {}: {}", stream, record.offset, error.detail)
            null
        },
        { BatchAtOffset(record.offset, it) },
    )
