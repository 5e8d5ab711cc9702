/*
 * HTTP client of the worker service.
 */
package org.greengagepass.services.process

import arrow.core.Either
import kotlinx.serialization.KSerializer
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.Checkpoint
import java.net.http.HttpClient

/** The worker at [address], for example `http://127.0.0.1:7100`. */
public class HttpWorkerService(
    client: HttpClient,
    address: String,
    private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) : WorkerService {
    private val http = JsonHttp(client, address)

    override suspend fun attach(incarnation: Incarnation): Either<PlatformError, WorkerReport> =
        post("/attach", IncarnationBody(incarnation), IncarnationBody.serializer(), WorkerReport.serializer())

    override suspend fun report(incarnation: Incarnation): Either<PlatformError, WorkerReport> =
        post("/report", IncarnationBody(incarnation), IncarnationBody.serializer(), WorkerReport.serializer())

    override suspend fun start(
        incarnation: Incarnation,
        start: WorkerStart,
    ): Either<PlatformError, Unit> = postForUnit("/start", StartBody(incarnation, start), StartBody.serializer())

    override suspend fun renew(
        incarnation: Incarnation,
        tokens: List<FencingToken>,
        leaseDeadline: Timestamp,
    ): Either<PlatformError, Unit> =
        postForUnit("/renew", RenewBody(incarnation, tokens, leaseDeadline), RenewBody.serializer())

    override suspend fun throttle(
        incarnation: Incarnation,
        token: FencingToken,
        permille: Int,
    ): Either<PlatformError, Unit> =
        postForUnit("/throttle", ThrottleBody(incarnation, token, permille), ThrottleBody.serializer())

    override suspend fun checkpoint(
        incarnation: Incarnation,
        token: FencingToken,
    ): Either<PlatformError, Checkpoint> =
        post("/checkpoint", TokenBody(incarnation, token), TokenBody.serializer(), Checkpoint.serializer())

    override suspend fun stop(
        incarnation: Incarnation,
        token: FencingToken,
    ): Either<PlatformError, Unit> = postForUnit("/stop", TokenBody(incarnation, token), TokenBody.serializer())

    override suspend fun forget(
        incarnation: Incarnation,
        tokens: List<FencingToken>,
    ): Either<PlatformError, Unit> = postForUnit("/forget", ForgetBody(incarnation, tokens), ForgetBody.serializer())

    private suspend fun <B> postForUnit(
        path: String,
        body: B,
        serializer: KSerializer<B>,
    ): Either<PlatformError, Unit> = post(path, body, serializer, DoneBody.serializer()).map { }

    private suspend fun <B, A> post(
        path: String,
        body: B,
        serializer: KSerializer<B>,
        response: KSerializer<A>,
    ): Either<PlatformError, A> = http.post(path, TypedBody(body, serializer), response, timeoutMillis)

    public companion object {
        /** Time that a response may take, in milliseconds. It is below the interval of 1 s between two reports. */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 900
    }
}
