/*
 * Executes requests by their service class: idempotent requests go directly to an agent; a non-idempotent one goes
 * through the owner of its key's partition, at this or another entry.
 */
package org.greengagepass.entry.request

import io.opentelemetry.api.trace.SpanKind
import kotlinx.coroutines.delay
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.RequestKey
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.core.version.ServiceClass
import org.greengagepass.entry.connection.PeerHub
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.process.Partitions
import org.greengagepass.entry.process.Tracing
import org.greengagepass.protocol.connection.PeerMessage
import java.security.MessageDigest
import java.util.HexFormat
import java.util.UUID

/** Chooses how a request is executed. Confined to the process's decision dispatcher. */
public class RequestGateway(
    private val runner: RequestRunner,
    private val partitions: Partitions,
    private val peers: PeerHub,
    private val clock: MonotonicClock,
    private val tracing: Tracing,
) : RequestService {
    override suspend fun execute(request: CallerRequest): RequestOutcome =
        when (request.profile.serviceClass) {
            ServiceClass.QUICK -> runner.execute(request)

            ServiceClass.AT_MOST_ONCE -> executeAtMostOnce(request)

            ServiceClass.BATCH, ServiceClass.STANDING ->
                RequestOutcome.NotRun(ResultCode.INVALID_VALUE, "profile ${request.profile.name.value} is for tasks")
        }

    /**
     * Executes a request that another entry has forwarded, without forwarding it again. Returns null if only another
     * entry knows the outcome for the key.
     */
    public suspend fun executeForwarded(forward: PeerMessage.Forward): RequestOutcome? {
        val request = forward.toRequest(clock.now().plusMillis(forward.remainingMillis))
        val attributes = mapOf("requestId" to forward.requestId.value)
        return traced("entry from peer", SpanKind.SERVER, request, attributes) {
            executeOwned(it, RequestKey(forward.team, forward.idempotencyKey))
        }
    }

    /**
     * Sends the request to the owner of the key until one answers. Repeating is safe, since a key runs at most once
     * whoever owns it. Without an owner the outcome is unknown, because the caller may have sent the key before.
     */
    private suspend fun executeAtMostOnce(request: CallerRequest): RequestOutcome {
        val key = RequestKey(request.team, request.idempotencyKey ?: return MISSING_KEY)
        var outcome = executeAtOwner(request, key)
        while (outcome == null && clock.now() < request.deadline) {
            delay(OWNER_RETRY_MILLIS)
            outcome = executeAtOwner(request, key)
        }
        return outcome ?: NO_OWNER
    }

    private suspend fun executeAtOwner(
        request: CallerRequest,
        key: RequestKey,
    ): RequestOutcome? {
        val partition = partitions.of(key)
        val owner = partition.ownership.activeOwner
        return when {
            partition.isOwned -> executeOwned(request, key)
            owner == null -> null
            else ->
                traced("entry to peer", SpanKind.CLIENT, request, mapOf("peer" to owner.value)) {
                    peers.forward(owner, it.toForward(key))
                }
        }
    }

    private suspend fun executeOwned(
        request: CallerRequest,
        key: RequestKey,
    ): RequestOutcome? = partitions.of(key).execute(request, key, digestOf(request))

    private suspend fun traced(
        name: String,
        kind: SpanKind,
        request: CallerRequest,
        attributes: Map<String, String>,
        execute: suspend (CallerRequest) -> RequestOutcome?,
    ): RequestOutcome? {
        val span = tracing.start(name, kind, request.traceparent, attributes)
        var code = ResultCode.INTERNAL
        try {
            return execute(
                request.copy(traceparent = span.traceparent),
            ).also { code = it?.code ?: ResultCode.OWNER_LOST }
        } finally {
            span.end(code)
        }
    }

    private fun digestOf(request: CallerRequest): String {
        val content = listOf(request.service.value, request.operation.value, request.body).joinToString("\u0000")
        return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray()))
    }

    private fun CallerRequest.toForward(key: RequestKey): PeerMessage.Forward =
        PeerMessage.Forward(
            requestId = RequestId(UUID.randomUUID().toString()),
            partition = partitions.numberOf(key),
            traceparent = traceparent,
            team = team,
            idempotencyKey = key.idempotencyKey,
            service = service,
            operation = operation,
            body = body,
            profile = profile,
            remainingMillis = deadline.millisSince(clock.now()),
        )

    private companion object {
        private const val OWNER_RETRY_MILLIS = 200L
        private val NO_OWNER =
            RequestOutcome.Unknown(
                ResultCode.OWNER_LOST,
                "no owner of the key answered in time; repeat the request with the same key to get its outcome",
            )
        private val MISSING_KEY =
            RequestOutcome.NotRun(
                ResultCode.INVALID_VALUE,
                "this profile is for non-idempotent requests; send a header Idempotency-Key",
            )
    }
}

private fun PeerMessage.Forward.toRequest(deadline: Timestamp): CallerRequest =
    CallerRequest(
        requestId = requestId,
        idempotencyKey = idempotencyKey,
        traceparent = traceparent,
        team = team,
        service = service,
        operation = operation,
        profile = profile,
        body = body,
        deadline = deadline,
    )
