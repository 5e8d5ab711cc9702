/*
 * Announces an executor to the agent on its host every second while the executor runs.
 */
package org.greengagepass.standins.request

import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.json.Json
import org.greengagepass.services.process.UpstreamAnnouncement
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val ANNOUNCEMENT_INTERVAL_MILLIS = 1_000L

/** Sends [announcement] to the agent at [agentAddress]. */
public class Announcer(
    private val client: HttpClient,
    private val agentAddress: String,
    private val announcement: UpstreamAnnouncement,
) {
    /** Repeats the announcement every second, also while the agent cannot be reached. */
    public suspend fun run() {
        while (true) {
            send(announcement)
            delay(ANNOUNCEMENT_INTERVAL_MILLIS)
        }
    }

    /** Announces that the executor is draining. Returns true if the agent accepted the announcement. */
    public suspend fun announceDraining(): Boolean = send(announcement.copy(leaving = true))

    private suspend fun send(announcement: UpstreamAnnouncement): Boolean =
        try {
            val response = client.sendAsync(request(announcement), HttpResponse.BodyHandlers.discarding()).await()
            response.statusCode() == STATUS_OK
        } catch (_: IOException) {
            false
        }

    private fun request(announcement: UpstreamAnnouncement): HttpRequest =
        HttpRequest
            .newBuilder(URI.create("$agentAddress/announcements"))
            .timeout(Duration.ofMillis(ANNOUNCEMENT_INTERVAL_MILLIS))
            .header("Content-Type", "application/json")
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    Json.encodeToString(UpstreamAnnouncement.serializer(), announcement),
                ),
            ).build()

    private companion object {
        private const val STATUS_OK = 200
    }
}
