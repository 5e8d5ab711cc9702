/*
 * A TLS context without TLS. The JDK's HTTP client asks for a context when it is made; the default one loads the
 * security providers and all trusted certificates, which took 8 MB of an agent's 64 MB although it only speaks
 * plain HTTP to its own host.
 */
package org.greengagepass.services.process

import java.security.Provider
import java.security.SecureRandom
import javax.net.ssl.KeyManager
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLContextSpi
import javax.net.ssl.SSLEngine
import javax.net.ssl.SSLParameters
import javax.net.ssl.SSLServerSocketFactory
import javax.net.ssl.SSLSessionContext
import javax.net.ssl.SSLSocketFactory
import javax.net.ssl.TrustManager

private const val REFUSAL = "this client speaks plain HTTP only"

/** Context for a client of plain HTTP; every use of TLS fails. */
internal fun plainContext(): SSLContext = PlainContext(PlainContextSpi(), PlainProvider())

private class PlainContext(
    spi: SSLContextSpi,
    provider: Provider,
) : SSLContext(spi, provider, "none")

private class PlainProvider : Provider("greengagepass", "1", "plain HTTP")

private class PlainContextSpi : SSLContextSpi() {
    override fun engineInit(
        keyManagers: Array<out KeyManager>?,
        trustManagers: Array<out TrustManager>?,
        random: SecureRandom?,
    ) = Unit

    override fun engineGetSocketFactory(): SSLSocketFactory = throw UnsupportedOperationException(REFUSAL)

    override fun engineGetServerSocketFactory(): SSLServerSocketFactory = throw UnsupportedOperationException(REFUSAL)

    override fun engineCreateSSLEngine(): SSLEngine = throw UnsupportedOperationException(REFUSAL)

    override fun engineCreateSSLEngine(
        host: String?,
        port: Int,
    ): SSLEngine = throw UnsupportedOperationException(REFUSAL)

    override fun engineGetServerSessionContext(): SSLSessionContext? = null

    override fun engineGetClientSessionContext(): SSLSessionContext? = null

    override fun engineGetDefaultSSLParameters(): SSLParameters = SSLParameters()

    override fun engineGetSupportedSSLParameters(): SSLParameters = SSLParameters()
}
