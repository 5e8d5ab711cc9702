/*
 * Limits of tasks whose declared sizes are far too small or too large.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.WorkKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

private val HOST = Resources(milliCores = 14_000, memoryMegabytes = 56_000)
private val KIND = WorkKind("render")

class SizeEstimatorTest {
    private val estimator = SizeEstimator()

    @Test
    fun `one outlier does not determine the estimated size of a kind`() {
        repeat(times = 39) { estimator.observe(KIND, cores(1_000), runMillis = 100) }
        estimator.observe(KIND, cores(9_000), runMillis = 9_000)
        expectThat(estimator.usageOf(KIND)).isEqualTo(cores(1_000))
        expectThat(estimator.runMillisOf(KIND)).isEqualTo(100)
    }

    @Test
    fun `too few attempts give no estimate, so that one short run does not determine the size of a kind`() {
        estimator.observe(KIND, cores(1), runMillis = 1)
        expectThat(estimator.usageOf(KIND)).isNull()
    }

    @Test
    fun `a declared size that is too small is raised to the estimate`() {
        repeat(times = 20) { estimator.observe(KIND, cores(3_000), runMillis = 1) }
        expectThat(limit(declared = 500)).isEqualTo(LimitDecision.Limit(cores(3_000)))
    }

    @Test
    fun `an exceeded limit doubles up to the size of the host`() {
        expectThat(limit(declared = 4_000, exceeded = 4_000)).isEqualTo(LimitDecision.Limit(cores(8_000)))
        expectThat(limit(declared = 4_000, exceeded = 8_000)).isEqualTo(LimitDecision.Limit(cores(14_000)))
        expectThat(limit(declared = 4_000, exceeded = 14_000)).isA<LimitDecision.ExceedsEveryHost>()
    }

    @Test
    fun `a kind larger than every host never runs, unless its estimate is smaller`() {
        expectThat(limit(declared = 99_000)).isA<LimitDecision.ExceedsEveryHost>()
        repeat(times = 20) { estimator.observe(KIND, cores(15_000), runMillis = 1) }
        expectThat(limit(declared = 1_000)).isA<LimitDecision.ExceedsEveryHost>()
        repeat(times = 64) { estimator.observe(KIND, cores(2_000), runMillis = 1) }
        expectThat(limit(declared = 99_000)).isEqualTo(LimitDecision.Limit(cores(14_000)))
    }

    private fun limit(
        declared: Long,
        exceeded: Long? = null,
    ) = estimator.limitFor(KIND, cores(declared), exceeded?.let { cores(it) }, HOST)

    private fun cores(milliCores: Long) = Resources(milliCores = milliCores)
}
