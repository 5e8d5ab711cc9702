/*
 * The newest operators' configuration that this entry has read, and whether a newer one may exist.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.process.jobs.JobConfiguration
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.version.OperatorConfiguration
import org.greengagepass.services.process.ConfigurationFeed

/** Reads the configuration from [feed]. */
public class ConfigurationFollower(
    private val feed: ConfigurationFeed,
    private val clock: () -> Moment,
) {
    private val confirmation = Confirmation(FRESHNESS_MILLIS)
    private var isUnavailable = false

    /** The newest configuration that was read; null before the first. */
    public var current: OperatorConfiguration? = null
        private set

    /** The scheduler's part of the configuration; null if none was read or a newer one may exist. */
    public fun forScheduler(): JobConfiguration? = current?.takeIf { confirmation.isValid(clock()) }?.forScheduler()

    /** Reads new configurations until its coroutine is cancelled. */
    public suspend fun follow() {
        while (true) {
            val requestedAt = clock()
            feed.next(WAIT_MILLIS).fold(
                { failure ->
                    if (!isUnavailable) logger.warn("the configuration is unavailable: {}", failure.detail)
                    isUnavailable = true
                    delay(RETRY_MILLIS)
                },
                { configuration -> update(configuration, requestedAt) },
            )
        }
    }

    private suspend fun update(
        configuration: OperatorConfiguration?,
        requestedAt: Moment,
    ) {
        if (isUnavailable) logger.info("the configuration is available again")
        isUnavailable = false
        // A read that times out shows that the configuration was unchanged until it ended. The start is the safe bound.
        confirmation.confirm(requestedAt)
        if (configuration == null) delay(RETRY_MILLIS)
        if (configuration != null && configuration != current) {
            val domainsOut = configuration.failureDomainsOut.joinToString { it.value }
            logger.info(
                "read configuration {} with {} routes, failure domains out of service: {}",
                configuration.version,
                configuration.routes.size,
                domainsOut,
            )
            current = configuration
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(ConfigurationFollower::class.java)

        /** Each read is a call that the platform charges for, and confirms the configuration. */
        private const val WAIT_MILLIS = 1_000L
        private const val RETRY_MILLIS = 200L

        /** No task may start in a failure domain 5 s after it was taken out of service, so 3 s are allowed here. */
        private const val FRESHNESS_MILLIS = 3_000L
    }
}
