/*
 * Stored record of the estimated effects between images. A new leader continues from it, because it would otherwise
 * learn the strongly interfering pairs anew at the cost of the serving tasks.
 */
package org.greengagepass.core.process.jobs

import arrow.core.Either
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.PairEstimate

/** Estimated effect of tasks of one image on serving tasks of another. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
private data class StoredPair(
    val service: String,
    val image: String,
    val mean: Float,
    val variance: Float,
)

@Serializable
private data class StoredPairs(
    val pairs: List<StoredPair>,
)

/** Encodes and decodes the record of the estimates. */
@OptIn(ExperimentalSerializationApi::class)
internal object EstimateRecords {
    private const val KEY = "estimates"

    /** Bounds the record to some tens of kilobytes; the pairs with the strongest effects are kept. */
    private const val PAIRS_MAXIMUM = 1_000
    private val format = Cbor { ignoreUnknownKeys = true }

    fun encode(estimates: List<PairEstimate>): StateRecord {
        val kept = estimates.sortedByDescending { it.mean }.take(PAIRS_MAXIMUM)
        val pairs =
            kept.map { StoredPair(it.service.value, it.kind.value, it.mean.toFloat(), it.variance.toFloat()) }
        return StateRecord(KEY, format.encodeToByteArray(StoredPairs(pairs)))
    }

    /** Decodes the estimates in [records]; without a valid record there are none, and they are learnt anew. */
    fun decode(records: List<StateRecord>): List<PairEstimate> {
        val value = records.lastOrNull { it.key == KEY }?.value ?: return emptyList()
        return Either
            .catchOrThrow<IllegalArgumentException, StoredPairs> { format.decodeFromByteArray(value) }
            .fold({ emptyList() }, { it.pairs })
            .filter { it.mean.isFinite() && it.variance.isFinite() && it.variance > 0 }
            .map { PairEstimate(WorkKind(it.service), WorkKind(it.image), it.mean.toDouble(), it.variance.toDouble()) }
    }
}
