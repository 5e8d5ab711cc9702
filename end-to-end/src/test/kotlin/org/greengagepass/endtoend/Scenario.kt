/*
 * Steps shared by the scenarios.
 */
package org.greengagepass.endtoend

/** Runs [scenario] on a started deployment whose entries answer requests. */
fun withDeployment(
    operationMillis: Map<String, Int> = emptyMap(),
    scenario: (TestDeployment, TestClient) -> Unit,
) {
    TestDeployment(operationMillis = operationMillis).use { deployment ->
        deployment.start()
        val client = TestClient(deployment)
        try {
            client.publishProfiles()
            awaitUntil("each entry answers a preview") {
                deployment.entries.all { client.request(it, "counter", "fit-preview", "warm-up").code == 0 }
            }
            scenario(deployment, client)
        } catch (
            @Suppress("TooGenericExceptionCaught") failure: Throwable,
        ) {
            // The log files are deleted after the test, so the message contains their last lines.
            throw AssertionError("${failure.message}\n${deployment.logTails()}", failure)
        }
    }
}

/** Waits until [taskId] runs, and returns its host. */
fun awaitHost(
    client: TestClient,
    entry: TestEntry,
    taskId: String,
): String {
    awaitUntil("$taskId runs") { client.taskState(entry, taskId) == "running" }
    return checkNotNull(client.hostOf(entry, taskId)) { "$taskId ended before its host was read" }
}

/** Waits until [taskId] has finished. */
fun awaitFinished(
    client: TestClient,
    entry: TestEntry,
    taskId: String,
) {
    awaitUntil("$taskId finishes", seconds = 120) { client.taskState(entry, taskId) == "finished" }
}
