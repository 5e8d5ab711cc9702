/*
 * A caller that submits and cancels jobs and reads their states, each request over a connection of its own.
 */
package org.greengagepass.endtoend

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** Response to a caller. */
data class CallerResponse(
    val status: Int,
    val body: String,
)

/** Calls entries of a [PlatformDeployment]. */
class JobCaller {
    /** Submits [body] as job [id]; null if there was no answer. */
    fun submit(
        entry: PlatformEntry,
        id: String,
        body: String,
    ): CallerResponse? = request(entry, "POST", id, body)

    /** Returns the state of job [id], or null if [entry] did not answer with one. */
    fun state(
        entry: PlatformEntry,
        id: String,
    ): String? =
        request(entry, "GET", id, "")
            ?.takeIf { it.status == OK }
            ?.body
            ?.substringAfter("\"state\":\"")
            ?.substringBefore('"')

    /** Cancels job [id]; null if there was no answer. */
    fun cancel(
        entry: PlatformEntry,
        id: String,
    ): CallerResponse? = request(entry, "DELETE", id, "")

    private fun request(
        entry: PlatformEntry,
        method: String,
        id: String,
        body: String,
    ): CallerResponse? =
        try {
            Socket().use { socket ->
                socket.connect(InetSocketAddress(entry.host, entry.callerPort), CONNECT_TIMEOUT_MILLIS)
                socket.soTimeout = RESPONSE_TIMEOUT_MILLIS
                val head =
                    "$method $PATH_PREFIX$id HTTP/1.1\r\nHost: $HOST_NAME\r\nContent-Type: application/json\r\n" +
                        "Content-Length: ${body.length}\r\nConnection: close\r\n\r\n"
                socket.getOutputStream().write((head + body).encodeToByteArray())
                parse(socket.getInputStream().readAllBytes().decodeToString())
            }
        } catch (_: IOException) {
            null
        }

    private fun parse(text: String): CallerResponse? =
        text.substringAfter(' ', "").substringBefore(' ').toIntOrNull()?.let {
            CallerResponse(it, text.substringAfter("\r\n\r\n", ""))
        }

    companion object {
        const val OK: Int = 200
        const val GONE: Int = 410

        /** Answers that say that a job was not accepted and never runs. */
        val REJECTIONS: Set<Int> = setOf(404, 429, 503)
        const val HOST_NAME: String = "jobs.example"
        const val PATH_PREFIX: String = "/jobs/"
        private const val CONNECT_TIMEOUT_MILLIS = 1_000
        private const val RESPONSE_TIMEOUT_MILLIS = 4_000
    }
}
