/*
 * The reasons why a task waits.
 */
package org.greengagepass.entry.request

import org.greengagepass.core.FencingToken
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.Task
import org.greengagepass.core.process.TaskSpecification
import org.greengagepass.core.version.Quota
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotBlank

class WaitReasonTest {
    private val needed = Resources(milliCores = 4_000, memoryMegabytes = 1_000)
    private val large = Resources(milliCores = 32_000, memoryMegabytes = 64_000)
    private val small = Resources(milliCores = 1_000, memoryMegabytes = 64_000)
    private val task =
        Task(
            TaskSpecification(TaskId("t"), TeamName("team"), ProfileName("batch"), WorkKind("render"), needed),
            submittedAt = FencingToken.NONE,
            submittedAtEpochMillis = 0,
        )
    private val host = CandidateHost(large, large, isFailureDomainOut = false, draining = false)
    private val placeable =
        PlacementConditions(
            isOwned = true,
            owner = "entry-1",
            isLogAvailable = true,
            configurationAgeMillis = 10,
            quota = null,
            runningOfTeam = Resources.NONE,
            hosts = listOf(host),
            tasksAhead = 0,
        )

    /** Guards against a reason that misleads the operator. */
    @Test
    fun `each reason has its code`() {
        val quota = Quota(running = Resources(milliCores = 5_000, memoryMegabytes = 64_000), requestsPerSecond = 1)
        val cases =
            mapOf(
                placeable to ResultCode.OK,
                placeable.copy(isLogAvailable = false) to ResultCode.LOG_UNAVAILABLE,
                placeable.copy(owner = null, isOwned = false) to ResultCode.NOT_OWNER,
                placeable.copy(isOwned = false, hosts = emptyList()) to ResultCode.NOT_OWNER,
                placeable.copy(configurationAgeMillis = null) to ResultCode.STALE_PERMISSION,
                placeable.copy(configurationAgeMillis = 3_000) to ResultCode.STALE_PERMISSION,
                placeable.copy(quota = quota) to ResultCode.OK,
                placeable.copy(quota = quota, runningOfTeam = needed) to ResultCode.QUOTA_EXHAUSTED,
                placeable.copy(hosts = emptyList()) to ResultCode.NO_UPSTREAM,
                placeable.copy(hosts = listOf(host.copy(isFailureDomainOut = true))) to ResultCode.FAILURE_DOMAIN_OUT,
                placeable.copy(hosts = listOf(host.copy(draining = true))) to ResultCode.DRAINING,
                placeable.copy(hosts = listOf(host.copy(free = small))) to ResultCode.HOST_FULL,
                placeable.copy(hosts = listOf(host.copy(capacity = small, free = small))) to ResultCode.HOST_FULL,
            )
        cases.forEach { (conditions, code) ->
            val view = reasonOf(task, conditions)
            expectThat(view.code).describedAs(conditions.toString()).isEqualTo(code.number)
            expectThat(view.reason).isNotBlank()
            expectThat(view.state).isEqualTo("waiting")
        }
    }
}
