/*
 * Runs the decisions of the owner of a partition: gives it inputs with the time, and carries out what it decides.
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

/** What a partition needs of the process around it. */
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

/** Carries out the decisions of the owner of [stream], which starts with [state]. */
internal class OwnerLoop(
    private val stream: String,
    private val context: PartitionContext,
    private val snapshots: PartitionSnapshots,
    state: PartitionState,
) {
    /** Decides for the partition. */
    val owner =
        PartitionOwner(
            identity = context.identity,
            settings = context.settings,
            placement = context.placement.policy,
            configuration = context.configuration,
            state = state,
        )

    /** Oldest offset that the log still has, once records before it have expired unread; null until then. */
    var restoreFrom: Long? = null
        private set
    private val callers = HashMap<RequestId, WaitingCaller>()

    /** Completes when the release of the partition is in the log. */
    val released = CompletableDeferred<Unit>()

    /** Has the owner handle [input] now. */
    fun handle(input: OwnerInput) {
        val reading = ClockReading(context.clock.now(), context.epochMillis())
        owner.handle(input, reading).forEach(::carryOut)
    }

    /** Lets time pass, and evicts tasks for which placement has found a more urgent one. */
    fun tick() {
        handle(OwnerInput.Tick)
        context.placement.policy
            .takeEvictions()
            .forEach { handle(OwnerInput.EvictTask(it)) }
    }

    /** Gives the owner a page of its stream, whose read was sent at [readSentAt]. */
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

    /** Gives the owner the input that [input] makes for a new identifier, and waits for the answer. */
    suspend fun ask(
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
            logger.warn("append to {} was not answered: {}", stream, answer.value.detail)
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

    /** Takes the snapshot now and writes it later, while the state goes on to change. */
    private fun writeSnapshot() {
        val chunks = Snapshot.take(owner.state, context.identity.entry.value)
        context.scope.launch { snapshots.write(chunks) }
    }

    private fun requireRestore(decision: OwnerDecision.RestoreRequired) {
        logger.error("records of {} before offset {} expired unread", stream, decision.oldestOffset)
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
            RequestOutcome.Unknown(ResultCode.APPEND_NOT_CONFIRMED, "the partition is read again from a snapshot")
        private val CALLER_GONE = RequestOutcome.NotRun(ResultCode.DEADLINE_EXPIRED, "the caller has gone")
    }
}

/** The batch in [record] of [stream]; null, with a log line, if it holds none. */
internal fun decodeTaskBatch(
    stream: String,
    record: LogRecord,
): BatchAtOffset? =
    BatchCodec.TASKS.decode(record.payload).fold(
        { error ->
            LogManager.getLogger(OwnerLoop::class.java).error("{} offset {}: {}", stream, record.offset, error.detail)
            null
        },
        { BatchAtOffset(record.offset, it) },
    )
