/*
 * The state of the entry as the HTTP server reads it, and the record of answered requests.
 */
package org.greengagepass.entry.process.jobs

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.OperatorConfiguration
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.platform.AnsweredRequest
import org.greengagepass.platform.EntryView

/** Reads the configuration from [follower] and the leader from [gateway], and counts requests in [metrics]. */
internal class JobEntryView(
    private val follower: ConfigurationFollower,
    private val gateway: CallerGateway,
    private val metrics: JobEntryMetrics,
) : EntryView {
    override val configuration: OperatorConfiguration?
        get() = follower.current

    override val isReady: Boolean
        get() = shutdownDeadline == null && follower.current != null && gateway.leaderClient.value != null

    @Volatile
    override var shutdownDeadline: Timestamp? = null

    override fun now(): Timestamp = MonotonicClock.SYSTEM.now()

    override fun onRequestCompleted(request: AnsweredRequest) {
        val millis = now().millisSince(request.receivedAt)
        metrics.answered(request, millis)
        if (request.method == "GET" && request.status < FIRST_FAILURE_STATUS) return
        val message = StringMapMessage()
        message.put("request", "${request.method} ${request.path}")
        message.put("status", request.status.toString())
        message.put("outcome", request.outcome)
        message.put("millis", millis.toString())
        message.put("configuration", configuration?.version.toString())
        logger.info(message)
    }

    override fun metrics(): String = metrics.text()

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.requests")

        /** A successful GET changes nothing, so it is counted but not logged. */
        private const val FIRST_FAILURE_STATUS = 400
    }
}
