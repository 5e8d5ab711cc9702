/*
 * The host index compared with a linear search, and the growth of its cost.
 */
package org.greengagepass.core.process

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random

private const val SEED = 20_261_208L

class HostIndexTest {
    @Test
    fun `the index finds the same host as a linear search`() =
        runTest {
            checkAll(PropTestConfig(seed = SEED, iterations = 500), Arb.long()) { seed ->
                val random = Random(seed)
                val hosts = List(random.nextInt(1, 70)) { if (random.nextInt(5) == 0) null else amount(random) }
                val index = HostIndex(hosts.size)
                hosts.forEachIndexed(index::set)
                val need = amount(random)
                val start = random.nextInt(hosts.size)
                val order = (start until hosts.size) + (0 until start)
                expectThat(index.find(need, start)).isEqualTo(order.find { hosts[it]?.let(need::fitsIn) == true })
            }
        }

    @Test
    fun `the cost of a search grows no faster than the logarithm of the number of hosts`() {
        val small = visitsPerSearch(hosts = 100)
        val large = visitsPerSearch(hosts = 20_000)
        expectThat(large / small).isLessThan(15.0 / 7.0)
    }

    private fun visitsPerSearch(hosts: Int): Double {
        val random = Random(SEED)
        val index = HostIndex(hosts)
        repeat(hosts) { index.set(it, amount(random)) }
        val searches = 10_000
        repeat(searches) { index.find(amount(random), random.nextInt(hosts)) }
        return index.visits.toDouble() / searches
    }

    private fun amount(random: Random) = Resources(random.nextLong(0, 16_000), random.nextLong(0, 60_000), 0)
}
