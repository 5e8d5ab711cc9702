/*
 * The executor stand-in: an upstream with a fixed number of slots. Its answers echo the request, so that tests detect
 * swapped and truncated answers. It counts the runs of each request identifier.
 */
package org.greengagepass.standins.request

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.greengagepass.core.RequestId
import org.greengagepass.core.WorkKind
import kotlin.random.Random

/** Configurable behaviour of an executor. [operationMillis] overrides [serviceMillis] for single operations. */
@Serializable
public data class ExecutorBehaviour(
    val serviceMillis: Long = 0,
    val jitterMillis: Long = 0,
    val operationMillis: Map<String, Long> = emptyMap(),
    val failingPermille: Int = 0,
    val brokenAnswers: Int = 0,
)

/** The body of an answer: the request, the name of the executor, and how often the request has run there. */
@Serializable
public data class EchoAnswer(
    val requestId: RequestId,
    val operation: WorkKind,
    val body: String,
    val executor: String,
    val run: Int,
)

/** Counters of an executor since its start. */
@Serializable
public data class ExecutorStatistics(
    val runs: Map<String, Int>,
    val runsByBody: Map<String, Int>,
    val inProgress: Int,
    val mostInProgress: Int,
    val refused: Int,
    val refusedAfterLeaving: Int,
)

/** Result of a request at an executor. */
public sealed class Execution {
    /** The request ran. */
    public data class Done(
        val answer: EchoAnswer,
        val failed: Boolean,
        val broken: Boolean,
    ) : Execution()

    /** The request did not run because all slots are in use. */
    public data object NoSlot : Execution()

    /** The request did not run because the executor is draining. */
    public data object Draining : Execution()
}

/** An executor named [name] that runs up to [slots] requests at a time. */
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

    /** Runs a request, or refuses it before any of it ran. */
    public suspend fun run(
        requestId: RequestId,
        operation: WorkKind,
        body: String,
    ): Execution {
        acquireSlotOrRefuse()?.let { return it }
        val run = countRun(requestId, body)
        try {
            delay(serviceTimeMillis(operation))
            return Execution.Done(
                answer = EchoAnswer(requestId, operation, body, name, run),
                failed = random.nextInt(PERMILLE) < behaviour.failingPermille,
                broken = consumeBrokenAnswer(),
            )
        } finally {
            releaseSlot()
        }
    }

    /** Refuses all later requests. Requests in progress finish. */
    @Synchronized
    public fun close() {
        closed = true
    }

    /** Returns true if no request is in progress. */
    @Synchronized
    public fun isIdle(): Boolean = inProgress == 0

    /** Returns the counters. */
    @Synchronized
    public fun statistics(): ExecutorStatistics =
        ExecutorStatistics(runs.toMap(), runsByBody.toMap(), inProgress, mostInProgress, refused, refusedAfterClose)

    @Synchronized
    private fun acquireSlotOrRefuse(): Execution? =
        when {
            closed -> {
                refusedAfterClose++
                Execution.Draining
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
    private fun releaseSlot() {
        inProgress--
    }

    @Synchronized
    private fun consumeBrokenAnswer(): Boolean {
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
