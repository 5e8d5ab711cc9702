/*
 * The executor stand-in: an upstream with slots whose answers echo the request, so that a crossed or cut-off answer
 * shows. It counts the runs of each request identifier for tests.
 */
package org.greengagepass.standins.request

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.greengagepass.core.RequestId
import org.greengagepass.core.WorkKind
import kotlin.random.Random

/** How an executor behaves. Times of single operations replace the general one. */
@Serializable
public data class ExecutorBehaviour(
    val serviceMillis: Long = 0,
    val jitterMillis: Long = 0,
    val operationMillis: Map<String, Long> = emptyMap(),
    val failingPermille: Int = 0,
    val brokenAnswers: Int = 0,
)

/** Answer to a request. */
@Serializable
public data class EchoAnswer(
    val requestId: RequestId,
    val operation: WorkKind,
    val body: String,
    val executor: String,
    val run: Int,
)

/** What an executor has done so far. */
@Serializable
public data class ExecutorStatistics(
    val runs: Map<String, Int>,
    val runsByBody: Map<String, Int>,
    val inProgress: Int,
    val mostInProgress: Int,
    val refused: Int,
    val refusedAfterLeaving: Int,
)

/** Outcome of a request at an executor. */
public sealed class Execution {
    /** The request ran. */
    public data class Done(
        val answer: EchoAnswer,
        val failed: Boolean,
        val broken: Boolean,
    ) : Execution()

    /** All slots are in use, nothing ran. */
    public data object NoSlot : Execution()

    /** The executor is leaving, nothing ran. */
    public data object Leaving : Execution()
}

/** An executor called [name] that runs up to [slots] requests at a time. */
public class Executor(
    private val name: String,
    private val slots: Int,
    private val random: Random,
) {
    /** Current behaviour. */
    @Volatile
    public var behaviour: ExecutorBehaviour = ExecutorBehaviour()

    private val runs = mutableMapOf<String, Int>()
    private val runsByBody = mutableMapOf<String, Int>()
    private var inProgress = 0
    private var mostInProgress = 0
    private var refused = 0
    private var refusedAfterClose = 0
    private var closed = false

    /** Runs one request, or refuses it before anything ran. */
    public suspend fun run(
        requestId: RequestId,
        operation: WorkKind,
        body: String,
    ): Execution {
        refusal()?.let { return it }
        val run = countRun(requestId, body)
        try {
            delay(serviceTimeMillis(operation))
            return Execution.Done(
                answer = EchoAnswer(requestId, operation, body, name, run),
                failed = random.nextInt(PERMILLE) < behaviour.failingPermille,
                broken = takeBrokenAnswer(),
            )
        } finally {
            release()
        }
    }

    /** Refuses every request from now on; those in progress finish. */
    @Synchronized
    public fun close() {
        closed = true
    }

    /** True if nothing is in progress. */
    @Synchronized
    public fun isIdle(): Boolean = inProgress == 0

    /** What has been done so far. */
    @Synchronized
    public fun statistics(): ExecutorStatistics =
        ExecutorStatistics(runs.toMap(), runsByBody.toMap(), inProgress, mostInProgress, refused, refusedAfterClose)

    @Synchronized
    private fun refusal(): Execution? =
        when {
            closed -> {
                refusedAfterClose++
                Execution.Leaving
            }

            inProgress >= slots -> {
                refused++
                Execution.NoSlot
            }

            else -> {
                inProgress++
                mostInProgress = maxOf(mostInProgress, inProgress)
                null
            }
        }

    @Synchronized
    private fun countRun(
        requestId: RequestId,
        body: String,
    ): Int {
        runsByBody.merge(body, 1, Int::plus)
        return runs.merge(requestId.value, 1, Int::plus) ?: 1
    }

    @Synchronized
    private fun release() {
        inProgress--
    }

    @Synchronized
    private fun takeBrokenAnswer(): Boolean {
        val broken = behaviour.brokenAnswers
        if (broken > 0) behaviour = behaviour.copy(brokenAnswers = broken - 1)
        return broken > 0
    }

    private fun serviceTimeMillis(operation: WorkKind): Long {
        val current = behaviour
        val base = current.operationMillis[operation.value] ?: current.serviceMillis
        return base + if (current.jitterMillis > 0) random.nextLong(current.jitterMillis) else 0
    }

    private companion object {
        private const val PERMILLE = 1_000
    }
}
