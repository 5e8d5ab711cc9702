/*
 * Routing over random reports and outcomes, with upstreams that disappear and failure domains that go out of service
 * and return.
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
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.version.Priority
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

private val DOMAINS = listOf("medina", "port", "sakiet").map { FailureDomainName(it) }
private val RAN = RequestOutcome.Ran(Answer(200, "", ""))
private val LOST = RequestOutcome.Unknown(ResultCode.AGENT_LOST, "")

class RouterTest {
    private val router = Router(EntryId("entry"), DOMAINS[0], subsetSize = 8)

    private fun report(
        number: Int,
        isDraining: Boolean = false,
        queueLength: Int = 0,
    ) = UpstreamReport(agent(number), DOMAINS[number % DOMAINS.size], freeSlots = 8, queueLength, isDraining)

    private fun agent(number: Int) = AgentIdentity(HostId("host-$number"), Incarnation(1))

    private fun routes(now: Timestamp): List<Route> = List(200) { router.route(Random(it), now) }

    /**
     * Guards against requests to upstreams that are draining, are gone, or are in a domain that is out of service
     * (G8).
     */
    @Test
    fun `no request goes to an upstream that is draining, gone or out of service, and at most a third are ejected`() =
        runTest {
            checkAll(PropTestConfig(seed = 20_261_211L, iterations = 500), Arb.long()) { seed ->
                val random = Random(seed)
                val router = Router(EntryId("entry"), DOMAINS[0], subsetSize = 8)
                var ejectedBefore = 0
                val usable = HashMap<HostId, FailureDomainName>()
                repeat(200) { step ->
                    val now = Timestamp(step * 100L)
                    val number = random.nextInt(30)
                    val host = agent(number).host
                    when (random.nextInt(6)) {
                        0, 1 -> {
                            router.reported(report(number, queueLength = random.nextInt(4)))
                            usable[host] = DOMAINS[number % DOMAINS.size]
                        }
                        2 -> router.reported(report(number, isDraining = true)).also { usable.remove(host) }
                        3 -> router.gone(host).also { usable.remove(host) }
                        4 -> router.failureDomainsOut = DOMAINS.filter { random.nextInt(3) == 0 }.toSet()
                        else -> repeat(10) { router.ended(host, if (number % 3 == 0) RAN else LOST, now, now) }
                    }
                    val allowed = usable.filterValues { it !in router.failureDomainsOut }.keys
                    when (val route = router.route(random, now)) {
                        is Route.To -> check(route.agent.host in allowed) { "G8: $route, allowed are $allowed" }
                        is Route.None -> check(allowed.isEmpty()) { "no route although $allowed are allowed" }
                    }
                    val ejected = (0 until 30).count { router.isEjected(agent(it).host, now) }
                    check(
                        ejected * 3 <= router.size || ejected <= ejectedBefore,
                    ) { "$ejected of ${router.size} ejected" }
                    ejectedBefore = ejected
                }
            }
        }

    /**
     * Guards against requests sent to another domain without a benefit, and against requests kept in a slower domain.
     */
    @Test
    fun `the own failure domain is preferred until requests take longer there`() {
        repeat(9) { router.reported(report(it)) }
        val own = setOf("host-0", "host-3", "host-6")
        repeat(9) {
            router.ended(
                agent(it).host,
                RAN,
                dispatchedAt =
                    Timestamp(
                        if (it % 3 ==
                            0
                        ) {
                            30
                        } else {
                            20
                        },
                    ),
                Timestamp(60),
            )
        }
        expectThat(routes(Timestamp(60)).map { (it as Route.To).agent.host.value }.toSet()).isEqualTo(own)
        listOf(0, 3, 6).forEach { router.reported(report(it, queueLength = 16)) }
        expectThat(routes(Timestamp(61)).count { (it as Route.To).agent.host.value in own }).isEqualTo(0)
    }

    /** Guards against a failing upstream that keeps receiving a share of all requests. */
    @Test
    fun `an upstream is avoided after five consecutive failures and tried again later`() {
        repeat(9) { router.reported(report(it * 3)) }
        repeat(5) { router.ended(HostId("host-0"), LOST, Timestamp(0), Timestamp(1)) }
        expectThat(routes(Timestamp(2)).count { (it as Route.To).agent.host.value == "host-0" }).isEqualTo(0)
        expectThat(routes(Timestamp(10_002)).count { (it as Route.To).agent.host.value == "host-0" }).isGreaterThan(0)
    }

    /** Guards against a subset that changes completely when one upstream is added or removed. */
    @Test
    fun `removing a member changes only its own place in the subset`() {
        val members = List(1_000) { "host-$it" }
        val chosen = SubsetSelection.select("entry", members, count = 64) { it }
        val after = SubsetSelection.select("entry", members - chosen[10], count = 64) { it }
        expectThat(after.take(63)).isEqualTo(chosen - chosen[10])
        val counts = (0 until 300).flatMap { SubsetSelection.select("entry-$it", members, count = 30) { name -> name } }
        expectThat(
            counts
                .groupingBy { it }
                .eachCount()
                .values
                .max(),
        ).isIn(9..27)
    }

    /**
     * Guards against requests that are accepted although they can't meet their deadline, and against urgent requests
     * that are refused first.
     */
    @Test
    fun `requests that cannot meet their deadline are refused at once, lower priorities first`() {
        val shedder = LoadShedder(inFlightMaximum = 100)

        fun refusal(
            priority: Priority,
            expectedMillis: Double,
            inFlight: Int = 0,
        ) = shedder.refusal(priority, expectedMillis, Timestamp(1_000), Timestamp(0), inFlight)
        expectThat(Priority.entries.map { refusal(it, 600.0) == null }).isEqualTo(listOf(true, true, false))
        expectThat(Priority.entries.map { refusal(it, 900.0) == null }).isEqualTo(listOf(true, false, false))
        expectThat(
            Priority.entries.map { refusal(it, 1.0, inFlight = 60) == null },
        ).isEqualTo(listOf(true, true, false))
        expectThat(refusal(Priority.URGENT, 1_001.0)).isNotNull().get { code }.isEqualTo(ResultCode.OVERLOADED)
        expectThat(refusal(Priority.URGENT, 1_000.0)).isNull()
    }
}
