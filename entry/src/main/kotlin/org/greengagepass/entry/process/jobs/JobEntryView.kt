/*
 * What the HTTP server sees of the entry.
 */
package org.greengagepass.entry.process.jobs

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.OperatorConfiguration
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.platform.AnsweredRequest
import org.greengagepass.platform.EntryView

/** Shows the state of an entry. */
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

    override fun answered(request: AnsweredRequest) {
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

        /** Successful looks at a job change nothing and are only counted. */
        private const val FIRST_FAILURE_STATUS = 400
    }
}
