/*
 * Opens connections to other processes. A process uses one connector with one selector thread for its whole lifetime.
 */
package org.greengagepass.protocol.connection

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.ResultCode
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

private const val PORT_MAXIMUM = 65_535

/** Opens connections through [selector]. */
public class FrameConnector(
    private val selector: SelectorManager,
) : AutoCloseable {
    /** Opens connections through a selector of its own, which runs on [dispatcher]. */
    public constructor(dispatcher: CoroutineDispatcher) : this(SelectorManager(dispatcher))

    /** Connects to [address], in the form `host:port`, or returns why that failed within [timeoutMillis]. */
    public suspend fun <O, I> connect(
        address: String,
        outgoing: MessageCodec<O>,
        incoming: MessageCodec<I>,
        timeoutMillis: Long,
    ): Either<CodecError, FramedConnection<O, I>> {
        val target = parseAddress(address) ?: return failure("$address is not host:port").left()
        return try {
            withTimeoutOrNull(timeoutMillis) { open(target) }
                ?.let { FramedConnection(it, selector, outgoing, incoming).right() }
                ?: failure("not connected to $address within $timeoutMillis ms").left()
        } catch (cause: ConnectException) {
            CodecError(ResultCode.NO_UPSTREAM, "no process listens at $address: ${cause.message}").left()
        } catch (cause: IOException) {
            failure("not connected to $address: ${cause.message}").left()
        } catch (_: UnresolvedAddressException) {
            failure("$address can't be resolved").left()
        }
    }

    override fun close() {
        selector.close()
    }

    private suspend fun open(target: InetSocketAddress): Socket =
        aSocket(selector).tcp().connect(target) { noDelay = true }

    private fun parseAddress(address: String): InetSocketAddress? {
        val port = address.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..PORT_MAXIMUM }
        val host = address.substringBeforeLast(':', "")
        return port?.takeIf { host.isNotEmpty() }?.let { InetSocketAddress(host, it) }
    }

    private fun failure(detail: String) = CodecError(ResultCode.AGENT_LOST, detail)
}
