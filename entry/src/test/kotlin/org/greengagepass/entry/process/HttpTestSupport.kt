/*
 * HTTP calls for tests, and a call observation that exports no spans.
 */
package org.greengagepass.entry.process

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers

private val client: HttpClient = HttpClient.newHttpClient()

internal fun testObservation(): CallObservation =
    CallObservation("test-domain", Tracing("test-entry", LogSpanExporter()), EntryMetrics())

internal fun httpGet(
    url: String,
    vararg headers: Pair<String, String>,
): HttpResponse<String> = exchange(HttpRequest.newBuilder(URI(url)).GET(), headers.toList())

internal fun httpPost(
    url: String,
    body: Any,
    vararg headers: Pair<String, String>,
): HttpResponse<String> = exchange(HttpRequest.newBuilder(URI(url)).POST(publisher(body)), headers.toList())

private fun publisher(body: Any): HttpRequest.BodyPublisher =
    if (body is ByteArray) BodyPublishers.ofByteArray(body) else BodyPublishers.ofString(body.toString())

private fun exchange(
    request: HttpRequest.Builder,
    headers: List<Pair<String, String>>,
): HttpResponse<String> {
    headers.forEach { (name, value) -> request.header(name, value) }
    return client.send(request.build(), BodyHandlers.ofString())
}
