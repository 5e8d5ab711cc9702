/*
 * Sends a request by the JDK's HTTP client and classifies failures by whether the request may have taken effect. Only a
 * connection that was never established proves that it had no effect.
 */
package org.greengagepass.services.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.future.await
import java.io.IOException
import java.net.ConnectException
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException

/** Sends [request] and reads the response by [handler]. */
public suspend fun <T> HttpClient.exchange(
    request: HttpRequest,
    handler: HttpResponse.BodyHandler<T>,
): Either<HttpFailure, HttpResponse<T>> =
    try {
        sendAsync(request, handler).await().right()
    } catch (cause: ConnectException) {
        HttpFailure.NotSent("not connected: ${cause.message}").left()
    } catch (cause: HttpConnectTimeoutException) {
        HttpFailure.NotSent("not connected in time: ${cause.message}").left()
    } catch (cause: HttpTimeoutException) {
        HttpFailure.TimedOut("no response in time: ${cause.message}").left()
    } catch (cause: IOException) {
        HttpFailure.ConnectionLost("${cause.javaClass.simpleName}: ${cause.message}").left()
    }
