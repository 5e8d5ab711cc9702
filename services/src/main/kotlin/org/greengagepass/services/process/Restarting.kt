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
        val error = errorOf(work) ?: return
        onError(error)
        delay(RESTART_DELAY_MILLIS)
    }
}

/** An overflow of the stack ends at this frame, so unlike other errors of the virtual machine it leaves no damage. */
private suspend fun errorOf(work: suspend () -> Unit): Throwable? =
    try {
        Either.catch { work() }.leftOrNull()
    } catch (overflow: StackOverflowError) {
        overflow
    }
