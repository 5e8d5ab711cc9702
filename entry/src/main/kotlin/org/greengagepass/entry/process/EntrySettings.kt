/*
 * Settings of an entry and their checks. All faults are reported, with the name, the value, and what is allowed.
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
    val notReadyMillis: Long,
    val token: String?,
    val otlpEndpoint: String?,
) {
    /** The faults of the settings, one sentence for each. */
    public fun faults(): List<String> =
        numbers().mapNotNull { (setting, value) -> rangeFault(setting, value) } +
            listOfNotNull(
                "failure-domain is missing; give the name of the failure domain of this host"
                    .takeIf { failureDomain.value.isBlank() },
                "token is missing while http-host $httpHost is open to other hosts; set a token or listen on 127.0.0.1"
                    .takeIf { token.isNullOrEmpty() && !isLoopback(httpHost) },
                "log-url is '$logUrl'; it must start with http:// or https://".takeIf { !isUrl(logUrl) },
                "otlp-endpoint is '$otlpEndpoint'; it must start with http:// or https://"
                    .takeIf { otlpEndpoint != null && !isUrl(otlpEndpoint) },
                addressFault("advertised-address", advertisedAddress),
            ) + peers.mapNotNull { addressFault("peers", it) }

    /** The names and values of the settings, one line for each, without secrets. */
    public fun describe(): List<String> =
        listOf(
            EntrySetting.ENTRY_ID to entryId.value,
            EntrySetting.FAILURE_DOMAIN to failureDomain.value,
            EntrySetting.LOG_URL to withoutCredentials(logUrl),
            EntrySetting.HTTP_HOST to httpHost,
            EntrySetting.AGENT_HOST to agentHost,
            EntrySetting.ADVERTISED_ADDRESS to advertisedAddress,
            EntrySetting.PEERS to peers.joinToString(","),
            EntrySetting.TOKEN to if (token.isNullOrEmpty()) "not set" else "set",
            EntrySetting.OTLP_ENDPOINT to withoutCredentials(otlpEndpoint ?: "not set"),
        ).plus(numbers().map { (setting, value) -> setting to "$value ${setting.unit}" })
            .sortedBy { (setting, _) -> setting.settingName }
            .map { (setting, value) -> "${setting.settingName}: $value" }

    private fun numbers(): List<Pair<EntrySetting, Long>> =
        listOf(
            EntrySetting.HTTP_PORT to httpPort.toLong(),
            EntrySetting.AGENT_PORT to agentPort.toLong(),
            EntrySetting.PEER_PORT to peerPort.toLong(),
            EntrySetting.PARTITIONS to partitions.toLong(),
            EntrySetting.FLUSH_WINDOW_MILLIS to flushWindowMillis,
            EntrySetting.SHUTDOWN_MILLIS to shutdownMillis,
            EntrySetting.LOG_RETENTION_MILLIS to logRetentionMillis,
            EntrySetting.NOT_READY_MILLIS to notReadyMillis,
        )

    private fun rangeFault(
        setting: EntrySetting,
        value: Long,
    ): String? {
        val range = setting.range ?: return null
        return "${setting.settingName} is $value; allowed are ${range.first} to ${range.last} (${setting.unit})"
            .takeIf { value !in range }
    }

    private fun addressFault(
        name: String,
        address: String,
    ): String? =
        "$name contains '$address'; an address must be host:port".takeIf { SocketAddressText.parse(address) == null }

    private fun isUrl(text: String): Boolean = text.startsWith("http://") || text.startsWith("https://")

    private fun withoutCredentials(url: String): String = url.replace(CREDENTIALS, "//")

    private fun isLoopback(host: String): Boolean = host == "localhost" || host.startsWith("127.") || host == "::1"

    private companion object {
        /** User and password of a URL. */
        private val CREDENTIALS = Regex("//[^/@]*@")
    }
}

/** Host and port of a TCP address. */
public data class SocketAddressText(
    val host: String,
    val port: Int,
) {
    public companion object {
        private val PORTS = 0..65_535

        /** The address in [text], which has the form host:port, or null. */
        public fun parse(text: String): SocketAddressText? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port !in PORTS) null else SocketAddressText(host, checkNotNull(port))
        }
    }
}
