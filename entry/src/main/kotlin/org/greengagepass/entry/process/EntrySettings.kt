/*
 * Settings of an entry and their checks. Every fault is reported, with the name, the value, and what is allowed.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName

/** Effective settings of an entry. */
public data class EntrySettings(
    val entryId: EntryId,
    val failureDomain: FailureDomainName,
    val httpHost: String,
    val httpPort: Int,
    val agentHost: String,
    val agentPort: Int,
    val peerPort: Int,
    val advertisedAddress: String,
    val peers: List<String>,
    val logUrl: String,
    val partitions: Int,
    val flushWindowMillis: Long,
    val shutdownMillis: Long,
    val logRetentionMillis: Long,
    val token: String?,
    val otlpEndpoint: String?,
) {
    /** What is wrong with the settings, one sentence for each fault; empty if nothing is. */
    public fun faults(): List<String> =
        listOfNotNull(
            portFault("http-port", httpPort),
            portFault("agent-port", agentPort),
            portFault("peer-port", peerPort),
            rangeFault("partitions", partitions.toLong(), PARTITIONS, "partitions"),
            rangeFault("flush-window-millis", flushWindowMillis, FLUSH_WINDOW_MILLIS, "milliseconds"),
            rangeFault("shutdown-millis", shutdownMillis, SHUTDOWN_MILLIS, "milliseconds"),
            rangeFault("log-retention-millis", logRetentionMillis, LOG_RETENTION_MILLIS, "milliseconds"),
            "failure-domain is empty; give the name of the failure domain of this host"
                .takeIf { failureDomain.value.isBlank() },
            "token is missing while http-host $httpHost is open to other hosts; set a token or listen on 127.0.0.1"
                .takeIf { token.isNullOrEmpty() && !isLoopback(httpHost) },
            "log-url is $logUrl; it must start with http:// or https://"
                .takeIf { !logUrl.startsWith("http://") && !logUrl.startsWith("https://") },
        ) + peers.mapNotNull(::peerFault)

    private fun portFault(
        name: String,
        value: Int,
    ): String? = rangeFault(name, value.toLong(), PORTS, "port number")

    private fun rangeFault(
        name: String,
        value: Long,
        range: LongRange,
        unit: String,
    ): String? = "$name is $value; allowed are ${range.first} to ${range.last} ($unit)".takeIf { value !in range }

    private fun peerFault(address: String): String? =
        "peers contains $address; each must be host:port".takeIf { SocketAddressText.parse(address) == null }

    private fun isLoopback(host: String): Boolean = host == "localhost" || host.startsWith("127.") || host == "::1"

    private companion object {
        private val PORTS = 0L..65_535L
        private val PARTITIONS = 1L..4_096L
        private val FLUSH_WINDOW_MILLIS = 0L..1_000L
        private val SHUTDOWN_MILLIS = 0L..600_000L

        /** At least ten minutes, so that four snapshots a retention are minutes apart. */
        private val LOG_RETENTION_MILLIS = 600_000L..31_622_400_000L
    }
}

/** Host and port of a TCP address. */
public data class SocketAddressText(
    val host: String,
    val port: Int,
) {
    public companion object {
        /** The address in [text], which has the form host:port, or null. */
        public fun parse(text: String): SocketAddressText? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null) null else SocketAddressText(host, port)
        }
    }
}
