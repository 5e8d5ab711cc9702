/*
 * Retries in an overload, through the whole request path of an entry whose upstreams fail or refuse every request.
 */
package org.greengagepass.core.request

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentClock
import org.greengagepass.core.connection.AgentIdentity
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class RetryBudgetTest {
    /** Guards against retries that multiply the load when upstreams are overloaded, and against a lack of any retry. */
    @Test
    fun `retries are at most a tenth of the requests plus the reserve, and two for each request`() =
        runTest {
            checkAll(PropTestConfig(seed = 20_261_207L, iterations = 300), Arb.long()) { seed ->
                val random = Random(seed)
                val dispatches = overload(random, requests = 500)
                val retries = dispatches.values.sum() - dispatches.size
                expectThat(retries).isGreaterThan(0)
                expectThat(retries).isLessThanOrEqualTo(500 / 10 + RetryBudget.RESERVE_RETRIES)
                expectThat(dispatches.values.max()).isLessThanOrEqualTo(1 + RetryBudget.RETRIES_MAXIMUM)
            }
        }

    /** Number of dispatches by request, at an entry whose upstreams fail or refuse every request. */
    private fun overload(
        random: Random,
        requests: Int,
    ): Map<RequestId, Int> {
        val router = Router(EntryId("entry"), FailureDomainName("port"))
        val policy = RequestPolicy(router, RetryBudget(), LoadShedder())
        val entry = EntryRequests(random) { policy }
        repeat(8) { number ->
            val agent = AgentIdentity(HostId("host-$number"), Incarnation(1))
            entry.heartbeat(agent, AgentClock(Timestamp(0), Timestamp(0)))
            router.reported(UpstreamReport(agent, FailureDomainName("port"), freeSlots = 8, queueLength = 0))
        }
        val dispatches = HashMap<RequestId, Int>()
        var now = Timestamp(0)
        repeat(requests) { number ->
            now = now.plusMillis(random.nextLong(20))
            val requestId = RequestId("r$number")
            val deadline = now.plusMillis(60_000)
            val request = RequestDescription(requestId, ServiceName("orders"), random.nextBoolean(), deadline)
            var actions = entry.submit(request, now)
            while (actions.isNotEmpty()) {
                val dispatch = actions.single() as? EntryAction.Dispatch ?: break
                dispatches.merge(requestId, 1, Int::plus)
                actions = entry.answered(dispatch.attempt.wireId, dispatch.agent, failure(random), now)
            }
        }
        return dispatches
    }

    private fun failure(random: Random): RequestOutcome =
        if (random.nextBoolean()) {
            RequestOutcome.Unknown(ResultCode.AGENT_LOST, "broken")
        } else {
            RequestOutcome.NotRun(listOf(ResultCode.OVERLOADED, ResultCode.HOST_FULL).random(random), "full")
        }
}
