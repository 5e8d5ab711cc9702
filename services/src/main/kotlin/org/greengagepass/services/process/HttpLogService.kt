/*
 * HTTP client of the log service.
 */
package org.greengagepass.services.process

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.net.URLEncoder
import java.net.http.HttpClient
import java.util.Base64

/** The log at [address], for example `http://127.0.0.1:7000`. */
public class HttpLogService(
    client: HttpClient,
    address: String,
    private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) : LogService {
    private val http = JsonHttp(client, address)

    override suspend fun append(
        stream: String,
        payload: ByteArray,
    ): Either<PlatformError, Long> =
        http
            .post(
                path = recordsPath(stream),
                body = TypedBody(AppendBody(Base64.getEncoder().encodeToString(payload)), AppendBody.serializer()),
                response = AppendedBody.serializer(),
                timeoutMillis = timeoutMillis,
            ).map { it.offset }

    override suspend fun read(
        stream: String,
        fromOffset: Long,
        waitMillis: Long,
    ): Either<PlatformError, LogPage> =
        http
            .get(
                path = "${recordsPath(stream)}?from=$fromOffset&waitMillis=$waitMillis",
                response = LogPageBody.serializer(),
                timeoutMillis = waitMillis + timeoutMillis,
            ).flatMap(::page)

    private fun recordsPath(stream: String) = "/streams/${URLEncoder.encode(stream, Charsets.UTF_8)}/records"

    private fun page(body: LogPageBody): Either<PlatformError, LogPage> =
        try {
            LogPage(
                records = body.records.map { LogRecord(it.offset, Base64.getDecoder().decode(it.payload)) },
                nextOffset = body.nextOffset,
                oldestOffset = body.oldestOffset,
            ).right()
        } catch (cause: IllegalArgumentException) {
            PlatformError.NoAnswer("a record is not in base64: ${cause.message}").left()
        }

    public companion object {
        /** Time that a response may take beyond the requested wait, in milliseconds. */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 2_000
    }
}
