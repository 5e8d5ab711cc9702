/*
 * Folds of random configuration streams (G10): operators make concurrent changes, appends are repeated, records are
 * unreadable or expire, and readers get old pages, gaps and snapshots of any age.
 */
package org.greengagepass.core.version

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.map
import kotlin.random.Random

class ConfigurationHistoryTest {
    /** Guards against processes with different configurations, and against a version that decreases. */
    @Test
    fun `every reader ends with the same state and no version ever decreases`() =
        runTest {
            var completed = 0
            checkAll(PropTestConfig(seed = SEED, iterations = 1_000), Arb.long()) { seed ->
                val stream = RandomStream(Random(seed), batches = 40)
                val reader = Random(seed + 1)
                val state = ConfigurationState()
                repeat(40) {
                    val before = state.view.version
                    when (reader.nextInt(12)) {
                        0, 1, 2 -> state.restore(stream.snapshots.random(reader))
                        3 -> state.continueAfterExpiry(minOf(40, state.nextOffset + reader.nextLong(4)))
                        else -> stream.readTo(state, from = reader.nextInt(41), count = reader.nextInt(8))
                    }
                    check(state.view.version >= before) { "G10: the version decreased from $before" }
                    stream.verify(state)
                }
                stream.readTo(state, from = 0, count = 40)
                state.restore(stream.snapshots.last())
                stream.verify(state)
                if (state.firstMissingOffset == null) completed++
            }
            expectThat(completed).isGreaterThan(500)
        }

    /** Guards against a lost update, in which two operators both succeed in changing the same version. */
    @Test
    fun `only one of several concurrent writes takes effect, and repeated batches and keys have none`() =
        runTest {
            var conflicts = 0
            checkAll(PropTestConfig(seed = SEED + 1, iterations = 1_000), Arb.long()) { seed ->
                val stream = RandomStream(Random(seed), batches = 40)
                val accepted = stream.results.filter { it.verdict is Verdict.Accepted }
                expectThat(
                    accepted.map { it.record.operator to it.record.idempotencyKey }.toSet(),
                ).hasSize(accepted.size)
                val current = HashMap<String, FencingToken>()
                stream.results.forEach { result ->
                    val actual = current[itemOf(result.record)] ?: FencingToken.NONE
                    when (result.verdict) {
                        is Verdict.Accepted -> {
                            check(
                                (result.record.expectedVersion() ?: actual) == actual,
                            ) { "G10: $result took effect over $actual" }
                            val isGone = result.record is ConfigurationRecord.ProfileWithdrawn
                            current[itemOf(result.record)] = if (isGone) FencingToken.NONE else result.position
                        }
                        is Verdict.Conflict -> conflicts++
                        is Verdict.Repeated -> Unit
                    }
                }
                expectThat(stream.folded.toSet()).hasSize(stream.folded.size)
            }
            expectThat(conflicts).isGreaterThan(1_000)
        }

    /**
     * Guards against a history that does not show who took a failure domain out of service, or that grows without
     * limit.
     */
    @Test
    fun `the history names who took a failure domain out of service and when`() {
        val state = ConfigurationState()
        repeat(100) { number ->
            val record = domainRecord(isOut = number % 2 == 0, number = number)
            state.fold(number.toLong(), ConfigurationBatch("w", number.toLong(), listOf(record)))
        }
        val status = state.view.failureDomains.getValue(FailureDomainName("medina"))
        expectThat(status.history).hasSize(FailureDomainStatus.HISTORY_MAXIMUM)
        expectThat(
            status.history.takeLast(2),
        ).map { Triple(it.isOut, it.operator, it.recordedAtEpochMillis) }.isEqualTo(
            listOf(Triple(true, "operator-98", 98L), Triple(false, "operator-99", 99L)),
        )
        expectThat(state.view.failureDomainsOut).isEqualTo(emptySet())
    }

    /**
     * Guards against a snapshot that mixes chunks of several snapshots, or that is lost because another one is
     * corrupted.
     */
    @Test
    fun `a snapshot is assembled from chunks that are interleaved with those of other writers`() {
        val state = ConfigurationState()
        val keys =
            List(
                OperatorKeyTable.KEYS_MAXIMUM,
            ) { number -> domainRecord(isOut = true, number, key = "$number".repeat(20)) }
        keys.chunked(4_000).forEachIndexed { number, records ->
            state.fold(number.toLong(), ConfigurationBatch("w", number.toLong(), records))
        }
        val chunks = ConfigurationChunks.split(state.snapshot(), "entry-1", number = 2)
        expectThat(chunks.size).isGreaterThan(2)
        val others =
            ConfigurationChunks.split(state.snapshot(), "entry-2", number = 2).take(chunks.size - 1) + byteArrayOf(1)
        val assembler = ConfigurationAssembler()
        ConfigurationChunks.split(state.snapshot(), "entry-1", number = 1).take(2).forEach { assembler.add(it) }
        val results = chunks.zip(others).flatMap { (own, other) -> listOf(assembler.add(own), assembler.add(other)) }
        expectThat(results.mapNotNull { it.getOrNull() }).isEqualTo(listOf(state.snapshot()))
        assembler.add(ConfigurationChunks.split(state.snapshot(), "entry-1", number = 1)[0])
        expectThat(assembler.add(chunks[1]).isLeft()).isEqualTo(true)
    }

    /** Guards against a validation that stops at the first fault. */
    @Test
    fun `validation lists every fault`() {
        val profile =
            Profile(
                ProfileName(" "),
                ServiceClass.QUICK,
                latencyObjectiveMillis = 0,
                retryLimit = 3,
                deadlineMillis = -1,
            )
        val quota =
            Quota(
                Resources(milliCores = -1, memoryMegabytes = Long.MAX_VALUE, accelerators = -1),
                requestsPerSecond = -1,
            )
        expectThat(ConfigurationValidation.validate(profile).leftOrNull()?.size).isEqualTo(4)
        expectThat(ConfigurationValidation.validate(quota).leftOrNull()?.size).isEqualTo(4)
        expectThat(
            ConfigurationValidation.validate(Profile(ProfileName("vista-ágil"), ServiceClass.QUICK)).isRight(),
        ).isEqualTo(true)
    }

    private companion object {
        private const val SEED = 20_261_208L
    }
}

/** A stream in the log, and the states from folding it in order, one before each offset. */
@OptIn(ExperimentalSerializationApi::class)
private class RandomStream(
    private val random: Random,
    private val batches: Int,
) {
    private val state = ConfigurationState()
    private val log = ArrayList<ConfigurationBatch?>()
    private var number = 0
    val results = ArrayList<RecordResult>()
    val folded = ArrayList<Pair<String, Long>>()
    val snapshots = ArrayList<ConfigurationSnapshot>()

    init {
        repeat(batches) { append() }
        snapshots.add(copyOf(state.snapshot()))
    }

    fun readTo(
        target: ConfigurationState,
        from: Int,
        count: Int,
    ) = (from until minOf(from + count, batches)).forEach { offset ->
        log[offset]?.let { target.fold(offset.toLong(), it) } ?: target.skipUnreadable(offset.toLong())
    }

    /**
     * Checks that a complete state equals that of every other process at the offset, and that an incomplete state
     * does not claim a later head.
     */
    fun verify(target: ConfigurationState) {
        val missing = target.firstMissingOffset
        val isSame = missing != null || target.snapshot() == snapshots[target.nextOffset.toInt()]
        check(isSame) { "G10: different states at ${target.nextOffset}" }
        check(target.head == FencingToken.of(missing ?: target.nextOffset, 0)) { "G4: head ${target.head} is claimed" }
    }

    private fun append() {
        snapshots.add(copyOf(state.snapshot()))
        val batch = if (random.nextInt(4) == 0) log.randomOrNull(random) else newBatch()
        val offset = log.size.toLong()
        log.add(batch)
        val result = batch?.let { state.fold(offset, it) }
        if (batch == null) {
            state.skipUnreadable(offset)
        } else if (result is FoldResult.Folded) {
            results.addAll(result.records)
            folded.add(result.writer to result.sequence)
        }
    }

    private fun newBatch(): ConfigurationBatch =
        ConfigurationBatch("writer-${random.nextInt(3)}", log.size.toLong(), List(random.nextInt(1, 4)) { newRecord() })

    /** A record whose author has seen the stream up to some earlier offset. */
    private fun newRecord(): ConfigurationRecord {
        val seen = snapshots.takeLast(3).random(random).view
        val key = "key-${if (random.nextInt(5) == 0) random.nextInt(10) else number++ + 10}"
        val name = ProfileName("profile-${random.nextInt(2)}")
        val team = TeamName("team-${random.nextInt(2)}")
        val profileVersion = seen.profiles[name]?.version ?: FencingToken.NONE
        val quotaVersion = seen.quotas[team]?.version ?: FencingToken.NONE
        val quota = Quota(Resources(milliCores = number.toLong()), requestsPerSecond = number)
        return when (random.nextInt(5)) {
            0 -> ConfigurationRecord.ProfilePublished(Profile(name, ServiceClass.QUICK), profileVersion, "ana", key)
            1 -> ConfigurationRecord.ProfileWithdrawn(name, profileVersion, "ana", key)
            2 -> ConfigurationRecord.QuotaSet(team, quota, quotaVersion, "ben", key)
            else -> domainRecord(random.nextBoolean(), number++, seen.failureDomains[MEDINA]?.latest?.version)
        }
    }

    /** Copies [snapshot] by encoding and decoding it, like a snapshot that another process has written. */
    private fun copyOf(snapshot: ConfigurationSnapshot): ConfigurationSnapshot =
        Cbor.decodeFromByteArray(
            ConfigurationSnapshot.serializer(),
            Cbor.encodeToByteArray(ConfigurationSnapshot.serializer(), snapshot),
        )
}

private val MEDINA = FailureDomainName("medina")

private fun domainRecord(
    isOut: Boolean,
    number: Int,
    expected: FencingToken? = null,
    key: String = "k",
): ConfigurationRecord =
    if (isOut) {
        ConfigurationRecord.FailureDomainOut(MEDINA, "works", expected, "operator-$number", key, number.toLong())
    } else {
        ConfigurationRecord.FailureDomainIn(MEDINA, "done", expected, "operator-$number", key, number.toLong())
    }

private fun itemOf(record: ConfigurationRecord): String =
    when (record) {
        is ConfigurationRecord.ProfilePublished -> "profile ${record.profile.name}"
        is ConfigurationRecord.ProfileWithdrawn -> "profile ${record.name}"
        is ConfigurationRecord.QuotaSet -> "quota ${record.team}"
        is ConfigurationRecord.FailureDomainOut, is ConfigurationRecord.FailureDomainIn -> "medina"
    }
