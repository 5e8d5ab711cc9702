/*
 * A TLS context that does not support TLS. The JDK's HTTP client requires a context when it is created. The default one
 * loads the security providers and all trusted certificates, which took 8 MB of an agent's 64 MB although the agent
 * uses only plain HTTP to its own host.
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

private const val NO_TLS = "this client supports plain HTTP only"

/** Context for a plain HTTP client; every use of TLS fails. */
internal fun noTlsContext(): SSLContext = NoTlsContext(NoTlsContextSpi(), NoTlsProvider())

private class NoTlsContext(
    spi: SSLContextSpi,
    provider: Provider,
) : SSLContext(spi, provider, "none")

private class NoTlsProvider : Provider("greengagepass", "1", "plain HTTP")

private class NoTlsContextSpi : SSLContextSpi() {
    override fun engineInit(
        keyManagers: Array<out KeyManager>?,
        trustManagers: Array<out TrustManager>?,
        random: SecureRandom?,
    ) = Unit

    override fun engineGetSocketFactory(): SSLSocketFactory = throw UnsupportedOperationException(NO_TLS)

    override fun engineGetServerSocketFactory(): SSLServerSocketFactory = throw UnsupportedOperationException(NO_TLS)

    override fun engineCreateSSLEngine(): SSLEngine = throw UnsupportedOperationException(NO_TLS)

    override fun engineCreateSSLEngine(
        host: String?,
        port: Int,
    ): SSLEngine = throw UnsupportedOperationException(NO_TLS)

    override fun engineGetServerSessionContext(): SSLSessionContext? = null

    override fun engineGetClientSessionContext(): SSLSessionContext? = null

    override fun engineGetDefaultSSLParameters(): SSLParameters = SSLParameters()

    override fun engineGetSupportedSSLParameters(): SSLParameters = SSLParameters()
}
