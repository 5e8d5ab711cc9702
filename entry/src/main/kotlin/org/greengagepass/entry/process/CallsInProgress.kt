/*
 * Counts the calls that are being handled. A draining entry refuses new calls and waits for those in progress.
 */
package org.greengagepass.entry.process

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.path
import io.ktor.server.response.header
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.request.ApiError
import org.greengagepass.entry.request.respondError
import java.util.concurrent.atomic.AtomicInteger

/** Counts calls, and refuses new ones once [drain] has been called. */
public class CallsInProgress {
    private val count = AtomicInteger()

    /** True if new calls are refused. */
    @Volatile
    public var isDraining: Boolean = false
        private set

    /** Counts the calls of [pipeline]. Health checks and metrics are answered while draining too. */
    public fun install(pipeline: ApplicationCallPipeline) {
        pipeline.intercept(ApplicationCallPipeline.Plugins) {
            // Counts before the check, so that drain waits for each call that was not refused.
            count.incrementAndGet()
            try {
                if (isDraining && call.request.path().startsWith("/v1/")) {
                    call.refuse()
                    finish()
                } else {
                    proceed()
                }
            } finally {
                count.decrementAndGet()
            }
        }
    }

    /** Refuses new calls and waits up to [graceMillis] for those in progress. Returns false if some remain. */
    public suspend fun drain(graceMillis: Long): Boolean {
        isDraining = true
        val isDone =
            withTimeoutOrNull(graceMillis) {
                while (count.get() > 0) delay(POLL_MILLIS)
                true
            }
        return isDone == true
    }

    /** A call with an idempotency key may repeat one that ran, so its code must not mean "not run". */
    private suspend fun ApplicationCall.refuse() {
        response.header(HttpHeaders.Connection, "close")
        val code = if (request.headers["Idempotency-Key"] == null) ResultCode.DRAINING else ResultCode.OWNER_LOST
        respondError(
            ApiError(
                code,
                "the entry is stopping; send the call to another entry, with the same idempotency key if it has one",
            ),
        )
    }

    private companion object {
        private const val POLL_MILLIS = 10L
    }
}
