/*
 * Source of the operators' configuration and its changes.
 */
package org.greengagepass.services.process

import arrow.core.Either
import org.greengagepass.core.version.OperatorConfiguration

/** Follows the operators' configuration. One coroutine at a time may use a feed. */
public interface ConfigurationFeed {
    /** Waits up to [waitMillis] for a change and returns the newest known configuration, or null before the first. */
    public suspend fun next(waitMillis: Long): Either<StoreFailure, OperatorConfiguration?>
}
