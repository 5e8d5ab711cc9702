/*
 * Reader of recorded traces. docs/traces.md describes the format.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** One line of a trace. */
@Serializable
internal sealed class TraceLine {
    @Serializable
    @SerialName("comment")
    data class Comment(
        val text: String,
    ) : TraceLine()

    @Serializable
    @SerialName("entry")
    data class Entry(
        val name: String,
    ) : TraceLine()

    @Serializable
    @SerialName("configuration")
    data class Configuration(
        val ageMillis: Long? = null,
        val out: Set<FailureDomainName> = emptySet(),
    ) : TraceLine()

    @Serializable
    @SerialName("input")
    data class Input(
        val entry: String,
        val at: Long,
        val input: OwnerInput,
        val appends: Boolean = true,
        val expected: List<String> = emptyList(),
    ) : TraceLine()

    @Serializable
    @SerialName("read")
    data class Read(
        val entry: String,
        val at: Long,
        val sentAt: Long = at,
        val appends: Boolean = true,
        val expected: List<String> = emptyList(),
    ) : TraceLine()

    @Serializable
    @SerialName("task")
    data class TaskOutcome(
        val task: TaskId,
        val state: String,
        val checkpoint: Long? = null,
    ) : TraceLine()
}

/** Replays the lines of a trace with a log that contains the appended batches in order. */
internal class TraceReplay {
    private val entries = HashMap<String, PartitionOwner>()
    private val log = ArrayList<TaskBatch>()
    private var configuration = TraceLine.Configuration()
    private val view =
        object : OwnerConfiguration {
            override fun ageMillis(now: Timestamp): Long? = configuration.ageMillis

            override fun isOut(failureDomain: FailureDomainName): Boolean = failureDomain in configuration.out
        }

    /** Replays [line]. Returns the expected and the actual result, which must be equal. */
    fun replay(line: TraceLine): Pair<Any?, Any?> =
        when (line) {
            is TraceLine.Comment -> null to null
            is TraceLine.Entry -> null to null.also { entries[line.name] = ownerNamed(line.name) }
            is TraceLine.Configuration -> null to null.also { configuration = line }
            is TraceLine.Input -> line.expected to handle(line.entry, line.input, line.at, line.appends)
            is TraceLine.Read -> line.expected to handle(line.entry, pageFor(line), line.at, line.appends)
            is TraceLine.TaskOutcome -> line to outcomeOf(line)
        }

    private fun ownerNamed(name: String) =
        PartitionOwner(OwnerIdentity(EntryId(name), "address-of-$name"), OwnerSettings(), FirstFit, view)

    private fun pageFor(line: TraceLine.Read): OwnerInput {
        val from = entries.getValue(line.entry).state.nextOffset
        val batches = (from until log.size).map { BatchAtOffset(it, log[it.toInt()]) }
        return OwnerInput.PageRead(Timestamp(line.sentAt), from, batches, nextOffset = log.size.toLong())
    }

    private fun handle(
        entry: String,
        input: OwnerInput,
        at: Long,
        isAppended: Boolean,
    ): List<String> {
        val decisions = entries.getValue(entry).handle(input, ClockReading(Timestamp(at), epochMillis = at))
        if (isAppended) {
            log += decisions.filterIsInstance<OwnerDecision.Append>().map { it.batch }
        }
        return decisions.map(::describe)
    }

    private fun outcomeOf(line: TraceLine.TaskOutcome): TraceLine.TaskOutcome {
        val state = PartitionState()
        log.forEachIndexed { offset, batch -> state.fold(offset.toLong(), batch) }
        val task = state.tasks[line.task]
        return line.copy(
            state =
                task
                    ?.state
                    ?.javaClass
                    ?.simpleName
                    .orEmpty(),
            checkpoint = line.checkpoint?.let { task?.checkpoint?.number },
        )
    }

    companion object {
        private val json = Json { encodeDefaults = false }

        fun parse(line: String): TraceLine = json.decodeFromString(TraceLine.serializer(), line)
    }
}

private fun describe(decision: OwnerDecision): String =
    when (decision) {
        is OwnerDecision.Append ->
            "append ${decision.batch.sequence}: ${decision.batch.records.joinToString(transform = ::describe)}"
        is OwnerDecision.SendGrant -> "grant ${decision.host.value}: ${describe(decision.grant)}"
        is OwnerDecision.DispatchPermitted -> "dispatch ${decision.requestId.value} ${positionOf(decision.token)}"
        is OwnerDecision.AnswerCaller -> "answer ${decision.requestId.value}: ${describe(decision.answer)}"
        is OwnerDecision.OwnershipGained -> "gained ${decision.epoch.value}"
        is OwnerDecision.OwnershipLost -> "lost ${decision.epoch.value}"
        is OwnerDecision.ReleaseRecorded -> "released"
        is OwnerDecision.WriteSnapshot -> "snapshot ${decision.nextOffset}"
        is OwnerDecision.RestoreRequired -> "restore"
    }

private fun describe(record: TaskRecord): String {
    val subject =
        when (record) {
            is TaskRecord.Assigned -> "${record.taskId.value} to ${record.host.value}"
            is TaskRecord.Released -> "${record.taskId.value} ${record.reason}"
            is TaskRecord.Checkpointed -> "${record.taskId.value} ${record.checkpoint.number}"
            is TaskRecord.LifeCycleRecord -> record.taskId.value
            is TaskRecord.Submitted -> record.specification.taskId.value
            is TaskRecord.CancelRequested -> record.taskId.value
            else -> ""
        }
    return "${record::class.simpleName} $subject".trim()
}

private fun describe(grant: HostGrant): String =
    buildList {
        add("lease ${grant.leaseDeadlineWorkerClock.millis}")
        grant.startDeadlineWorkerClock?.let { add("until ${it.millis}") }
        grant.renewals.mapTo(this) { "renew ${positionOf(it)}" }
        grant.starts.mapTo(this) { "start ${positionOf(it.token)} from ${it.resumeFrom.number}" }
        grant.commands.mapTo(this) { "${it::class.simpleName?.lowercase()} ${positionOf(it.token)}" }
        grant.recorded.mapTo(this) { "recorded ${positionOf(it)}" }
    }.joinToString()

private fun describe(answer: CallerAnswer): String =
    when (answer) {
        is CallerAnswer.Submitted -> "submitted"
        is CallerAnswer.CancelRecorded -> "cancel recorded ${answer.state::class.simpleName}"
        is CallerAnswer.NotOwner -> "notOwner"
        is CallerAnswer.Ended -> "${answer.outcome::class.simpleName} ${answer.outcome.code}"
    }

private fun positionOf(token: FencingToken): String =
    "${token.value / FencingToken.RECORDS_PER_BATCH_MAXIMUM}.${token.value % FencingToken.RECORDS_PER_BATCH_MAXIMUM}"
