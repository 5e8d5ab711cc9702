/*
 * Reads a response body of limited size. The rest of a larger body is read and discarded, so that one response can't
 * exhaust the memory of the process.
 */
package org.greengagepass.services.process

import java.io.ByteArrayOutputStream
import java.net.http.HttpResponse
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.Flow

/** Returns the body as text, or null if it has more than [bytesMaximum] bytes. */
internal class BoundedBodySubscriber(
    private val bytesMaximum: Int,
) : HttpResponse.BodySubscriber<String?> {
    private val result = CompletableFuture<String?>()
    private val bytes = ByteArrayOutputStream()
    private var tooLarge = false

    override fun getBody(): CompletionStage<String?> = result

    override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(buffers: List<ByteBuffer>) = buffers.forEach(::add)

    override fun onError(cause: Throwable) {
        result.completeExceptionally(cause)
    }

    override fun onComplete() {
        result.complete(if (tooLarge) null else bytes.toString(Charsets.UTF_8))
    }

    private fun add(buffer: ByteBuffer) {
        tooLarge = tooLarge || bytes.size() + buffer.remaining() > bytesMaximum
        if (tooLarge) {
            bytes.reset()
        } else {
            val chunk = ByteArray(buffer.remaining())
            buffer.get(chunk)
            bytes.write(chunk)
        }
    }
}
