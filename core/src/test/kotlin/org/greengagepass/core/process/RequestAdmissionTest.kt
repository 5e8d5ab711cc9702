/*
 * Admission of requests with random arrivals: slots and queue stay bounded, and each request has one outcome.
 */
package org.greengagepass.core.process

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

private const val SEED = 20_261_209L
private const val SLOTS = 3
private val SERVICE = ServiceName("belts")

class RequestAdmissionTest {
    private val admission = RequestAdmission(queueLimit = 2)

    @Test
    fun `slots and queue stay bounded, and each request is granted or refused exactly once`() =
        runTest {
            checkAll(PropTestConfig(seed = SEED, iterations = 300), Arb.long()) { runHistory(Random(it)) }
        }

    @Test
    fun `an urgent request displaces a background one from a full queue`() {
        announce(now = 0)
        repeat(times = SLOTS) { offer("running-$it") }
        offer("first", Priority.NORMAL)
        offer("second", Priority.BACKGROUND)
        expectThat(offer("third", Priority.BACKGROUND).leftOrNull()?.code).isEqualTo(ResultCode.OVERLOADED)
        val refused = offer("urgent", Priority.URGENT).getOrNull()?.refused
        expectThat(refused?.map { it.requestId.value }).isEqualTo(listOf("second"))
    }

    @Test
    fun `an upstream that drains or stops announcing itself gets no new request`() {
        announce(now = 0)
        expectThat(offer("late", now = 3_000).leftOrNull()?.code).isEqualTo(ResultCode.NO_UPSTREAM)
        announce(now = 3_000, isDraining = true)
        expectThat(offer("leaving", now = 3_000).leftOrNull()?.code).isEqualTo(ResultCode.DRAINING)
    }

    private fun runHistory(random: Random) {
        val admission = RequestAdmission(queueLimit = 4)
        val running = HashSet<RequestId>()
        val outcomes = HashMap<RequestId, Int>()
        var queued = 0
        var now = 0L

        fun apply(changes: SlotChanges) {
            (changes.granted.map { it.requestId } + changes.refused.map { it.requestId })
                .forEach { outcomes.merge(it, 1, Int::plus) }
            running += changes.granted.map { it.requestId }
            queued -= changes.granted.size + changes.refused.size
        }
        repeat(times = 200) {
            now += random.nextLong(100)
            apply(admission.announce(SERVICE, "upstream", SLOTS, isDraining = random.nextInt(9) == 0, Timestamp(now)))
            val deadline = Timestamp(now + random.nextLong(1, 500))
            val request = SlotRequest(RequestId("r-$it"), SERVICE, deadline, Priority.entries.random(random))
            admission.offer(request, Timestamp(now)).onRight { changes ->
                queued++
                apply(changes)
            }
            running.randomOrNull(random)?.takeIf { random.nextBoolean() }?.let { ended ->
                running -= ended
                apply(admission.complete(ended, Timestamp(now)))
            }
            expectThat(running.size).isLessThanOrEqualTo(SLOTS)
            expectThat(queued).isLessThanOrEqualTo(4)
            expectThat(outcomes.values.all { count -> count == 1 }).isTrue()
        }
    }

    private fun announce(
        now: Long,
        isDraining: Boolean = false,
    ) = admission.announce(SERVICE, "upstream", SLOTS, isDraining, Timestamp(now))

    private fun offer(
        name: String,
        priority: Priority = Priority.NORMAL,
        now: Long = 0,
    ) = admission.offer(SlotRequest(RequestId(name), SERVICE, Timestamp(now + 1_000), priority), Timestamp(now))
}
