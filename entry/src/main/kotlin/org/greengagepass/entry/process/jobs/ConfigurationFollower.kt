/*
 * The operators' configuration as this entry knows it, and whether it can still be the newest.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.process.jobs.JobConfiguration
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.version.OperatorConfiguration
import org.greengagepass.services.process.ConfigurationFeed

/** Follows [feed]. */
public class ConfigurationFollower(
    private val feed: ConfigurationFeed,
    private val clock: () -> Moment,
) {
    private val proof = FreshnessProof(FRESH_MILLIS)
    private var isLost = false

    /** The newest configuration known, or null before the first. */
    public var current: OperatorConfiguration? = null
        private set

    /** What the scheduler needs, or null if there is none or a newer one may exist. */
    public fun forScheduler(): JobConfiguration? = current?.takeIf { proof.isValid(clock()) }?.forScheduler()

    /** Follows until its coroutine is cancelled. */
    public suspend fun follow() {
        while (true) {
            val asked = clock()
            feed.next(WAIT_MILLIS).fold(
                { failure ->
                    if (!isLost) logger.warn("the configuration is lost: {}", failure.detail)
                    isLost = true
                    delay(RETRY_MILLIS)
                },
                { configuration -> take(configuration, asked) },
            )
        }
    }

    private suspend fun take(
        configuration: OperatorConfiguration?,
        asked: Moment,
    ) {
        if (isLost) logger.info("the configuration is regained")
        isLost = false
        // A wait that ends without news shows that there was none when it ended, not only when it began.
        proof.confirm(asked)
        if (configuration == null) delay(RETRY_MILLIS)
        if (configuration != null && configuration != current) {
            val out = configuration.failureDomainsOut.joinToString { it.value }
            logger.info(
                "configuration {} with {} routes, out: {}",
                configuration.version,
                configuration.routes.size,
                out,
            )
            current = configuration
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(ConfigurationFollower::class.java)

        /** Each wait is one priced call, and shows that nothing has changed. */
        private const val WAIT_MILLIS = 1_000L
        private const val RETRY_MILLIS = 200L

        /** Failure domains that are out get no task 5 s later, so a view may be 3 s old. */
        private const val FRESH_MILLIS = 3_000L
    }
}
