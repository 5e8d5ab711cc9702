/*
 * Placement in random histories: capacity and quotas are respected, urgent work starts in time, no team or task
 * starves, and every waiting task has a reason.
 */
package org.greengagepass.core.process

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.version.Quota
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

private const val SEED = 20_261_207L
private const val URGENT_BOUND_MILLIS = 3_300L
private val RENDERERS = TeamName("renderers")
private val AUDITORS = TeamName("auditors")

class TaskPlacementTest {
    @Test
    fun `neither capacity nor quotas are exceeded in any history`() =
        histories(count = 60) { seed ->
            val quotas =
                mapOf(
                    RENDERERS to Quota(cores(9_000), requestsPerSecond = 1),
                    AUDITORS to Quota(cores(25_000), requestsPerSecond = 1),
                )
            val model = PlacementSimulation(hostCount = 4, seed, quotas)
            repeat(times = 200) {
                val team = if (model.random.nextBoolean()) RENDERERS else AUDITORS
                model.submit(team, cores(model.random.nextLong(500, 8_000)), profileOf(model), "task-$it")
                endSome(model)
                model.tick()
            }
        }

    @Test
    fun `urgent tasks are placed in time when evictions can free capacity`() =
        histories(count = 60) { seed ->
            val model = PlacementSimulation(hostCount = 6, seed)
            repeat(times = 80) {
                val profile = if (it % 4 == 0) "NORMAL-fixed" else profileOf(model)
                model.submit(RENDERERS, cores(model.random.nextLong(500, 3_000)), profile, "fill-$it")
            }
            repeat(times = 30) { model.tick() }
            repeat(times = 8) { round ->
                val urgent = model.submit(AUDITORS, cores(4_000), "URGENT-evictable", "urgent-$round")
                val submitted = model.now
                while (urgent !in model.placedAt && model.now - submitted <= URGENT_BOUND_MILLIS) model.tick()
                expectThat(model.placedAt[urgent]).isNotNull()
                repeat(times = model.random.nextInt(5, 20)) { model.tick() }
                model.end(urgent, waitsAgain = false)
            }
        }

    @Test
    fun `evictions stop once enough capacity is free, and affect only tasks whose profile permits them`() =
        histories(count = 40) { seed ->
            val model = PlacementSimulation(hostCount = 3, seed)
            repeat(times = 30) {
                val profile = if (it % 2 == 0) "BACKGROUND-evictable" else "BACKGROUND-fixed"
                model.submit(RENDERERS, cores(milliCores = 1_000), profile, "fill-$it")
            }
            repeat(times = 20) { model.tick() }
            model.submit(AUDITORS, cores(milliCores = 2_000), "URGENT-fixed", "urgent")
            repeat(times = 60) { model.tick() }
            expectThat("urgent" in model.placedAt.keys.map { it.value }).isTrue()
            expectThat(model.evicted.size).isLessThanOrEqualTo(2)
            expectThat(model.evicted.all { it.value.removePrefix("fill-").toInt() % 2 == 0 }).isTrue()
        }

    @Test
    fun `many failures and cancellations of one team do not starve another`() =
        histories(count = 15) { seed ->
            val model = PlacementSimulation(hostCount = 2, seed)
            repeat(times = 10) { model.submit(AUDITORS, cores(milliCores = 1_000), name = "long-$it") }
            repeat(times = 10) { model.tick() }
            repeat(times = 100) { model.submit(RENDERERS, cores(milliCores = 1_000), name = "bad-$it") }
            val waiting = model.submit(AUDITORS, cores(milliCores = 1_000), name = "waiting")
            repeat(times = 300) { tick ->
                model.running().filter { it.specification.team == RENDERERS }.forEach {
                    model.end(it.id, waitsAgain = model.random.nextInt(10) != 0)
                }
                model.submit(RENDERERS, cores(milliCores = 1_000), name = "wave-$tick")
                model.tick()
            }
            expectThat(model.placedAt[waiting]).isNotNull()
        }

    @Test
    fun `a continuous stream of small tasks does not starve a large one`() =
        histories(count = 10) { seed ->
            val model = PlacementSimulation(hostCount = 2, seed)
            val ends = HashMap<TaskId, Long>()
            repeat(times = 20) { model.submit(RENDERERS, cores(milliCores = 1_000), name = "first-$it") }
            repeat(times = 10) { model.tick() }
            val large = model.submit(AUDITORS, cores(milliCores = 9_000), name = "large")
            repeat(times = 600) { tick ->
                model.submit(RENDERERS, cores(milliCores = 1_000), name = "small-$tick")
                model.running().forEach {
                    ends.getOrPut(it.id) { model.now + model.random.nextLong(1_000, 10_000) }
                }
                ends.filterValues { it <= model.now }.keys.toList().forEach {
                    ends.remove(it)
                    if (it in model.tasks) model.end(it, waitsAgain = false)
                }
                model.tick()
            }
            expectThat(model.placedAt[large]).isNotNull()
        }

    @Test
    fun `a waiting task has the reason why it is not placed`() {
        val quotas = mapOf(RENDERERS to Quota(cores(1_500), requestsPerSecond = 1))
        val model = PlacementSimulation(hostCount = 1, SEED, quotas)
        val quota = listOf("a", "b").map { model.submit(RENDERERS, cores(1_000), name = it) }
        val tooLarge = model.submit(AUDITORS, cores(99_000), name = "tooLarge")
        model.submit(AUDITORS, cores(8_000), "NORMAL-fixed", name = "fills")
        val noCapacity = model.submit(AUDITORS, cores(8_000), name = "noCapacity")
        repeat(times = 20) { model.tick() }
        expectThat(model.placement.waitReasonOf(quota.last())).isA<WaitReason.OverQuota>()
        expectThat(model.placement.waitReasonOf(tooLarge)).isA<WaitReason.ExceedsEveryHost>()
        expectThat(model.placement.waitReasonOf(noCapacity)).isEqualTo(WaitReason.InsufficientCapacity(cores(8_000)))
    }

    @Test
    fun `urgent work gets the last capacity before a team with a lower share`() {
        val model = PlacementSimulation(hostCount = 1, SEED)
        model.submit(AUDITORS, cores(8_000), "NORMAL-fixed", name = "fills")
        repeat(times = 20) { model.tick() }
        val normal = model.submit(RENDERERS, cores(2_000), "NORMAL-fixed", name = "normal")
        val urgent = model.submit(AUDITORS, cores(2_000), "URGENT-fixed", name = "urgent")
        model.tick()
        expectThat(model.placedAt.keys.filter { it == normal || it == urgent }).isEqualTo(listOf(urgent))
    }

    private fun histories(
        count: Int,
        body: (Long) -> Unit,
    ) = runTest {
        checkAll(PropTestConfig(seed = SEED, iterations = count), Arb.long()) { body(it) }
    }

    /** Ends some tasks, and trains the estimator with sizes far from the declared ones. */
    private fun endSome(model: PlacementSimulation) =
        model.running().filter { model.random.nextInt(8) == 0 }.forEach {
            val usage = cores(model.random.nextLong(100, 10_000))
            model.models.sizes.observe(it.specification.kind, usage, runMillis = null)
            model.end(it.id, waitsAgain = model.random.nextBoolean())
        }

    private fun profileOf(model: PlacementSimulation) =
        listOf("URGENT-evictable", "NORMAL-evictable", "BACKGROUND-evictable")
            .drop(model.tasks.size % 2)
            .let { if (model.now == 0L) it.takeLast(2) else it }
            .random(model.random)

    private fun cores(milliCores: Long) = Resources(milliCores = milliCores)
}
