/*
 * Keeps a part of a process running after an unexpected error, such as a response in a form that no decoder expects. A
 * coroutine that ends with an exception would otherwise leave its process running without that part.
 */
package org.greengagepass.services.process

import arrow.core.Either
import kotlinx.coroutines.delay

private const val RESTART_DELAY_MILLIS = 200L

/** Runs [work] until it returns. After an error, which [onError] receives, runs it again. */
public suspend fun runRestarting(
    onError: (Throwable) -> Unit,
    work: suspend () -> Unit,
) {
    while (true) {
        val error = Either.catch { work() }.leftOrNull() ?: return
        onError(error)
        delay(RESTART_DELAY_MILLIS)
    }
}
