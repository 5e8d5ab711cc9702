/*
 * Agents and owners are killed, or paused for longer than the lease, while tasks run. Guards against a task that runs
 * in two places at once, is lost, or resumes twice.
 */
package org.greengagepass.endtoend

import org.greengagepass.services.process.AttemptState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThanOrEqualTo

class TaskSafetyTest {
    @Test
    fun `a task resumes elsewhere exactly once when its agent is killed`() =
        withDeployment { deployment, client ->
            val entry = deployment.entries.first()
            client.submit(entry, "render-1", runMillis = 20_000)
            val host = awaitHost(client, entry, "render-1")
            awaitUntil("a checkpoint is recorded") { client.checkpointOf(entry, "render-1") > 0 }
            val recorded = client.checkpointOf(entry, "render-1")
            deployment.kill("agent-$host")
            awaitFinished(client, entry, "render-1")
            client.expectSafeHistory()
            val starts =
                client.history().filter { it.taskId.value == "render-1" && it.state == AttemptState.RUNNING }
            expectThat(starts).hasSize(2)
            expectThat(starts.last().checkpoint.number).isGreaterThanOrEqualTo(recorded)
        }

    @Test
    fun `a task never runs in two places when its agent is paused past the lease and resumed`() =
        withDeployment { deployment, client ->
            val entry = deployment.entries.first()
            client.submit(entry, "render-1", runMillis = 20_000)
            val host = awaitHost(client, entry, "render-1")
            deployment.pause("agent-$host")
            Thread.sleep(PAUSE_MILLIS)
            deployment.resume("agent-$host")
            awaitFinished(client, entry, "render-1")
            client.expectSafeHistory()
        }

    @Test
    fun `tasks go on when the owner of the partition is paused and replaced`() =
        withDeployment { deployment, client ->
            val entry = deployment.entries.first()
            (1..TASKS).forEach { client.submit(entry, "render-$it", runMillis = 25_000) }
            (1..TASKS).forEach { awaitHost(client, entry, "render-$it") }
            val owner = ownerOf(client, deployment)
            deployment.pause(owner.name)
            Thread.sleep(PAUSE_MILLIS)
            deployment.resume(owner.name)
            val other = deployment.entries.first { it != owner }
            (1..TASKS).forEach { awaitFinished(client, other, "render-$it") }
            client.expectSafeHistory()
        }

    /** Finds the owner by its status, since the other entries answer requests for tasks too. */
    private fun ownerOf(
        client: TestClient,
        deployment: TestDeployment,
    ): TestEntry = deployment.entries.first { client.ownsPartitions(it) }

    private companion object {
        private const val TASKS = 6

        /** Longer than the lease of 10 s and its margin of 1 s. */
        private const val PAUSE_MILLIS = 15_000L
    }
}
