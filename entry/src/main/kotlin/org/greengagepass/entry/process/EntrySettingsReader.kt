/*
 * Parses the values of flags and environment variables. A value that can't be parsed is reported as a fault, and the
 * default takes its place, so that all other faults are found in the same run.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import java.util.UUID

/** Parses settings from [values]. A setting that is absent there has its default. */
public class EntrySettingsReader(
    private val values: Map<EntrySetting, String>,
) {
    private val parseFaults = ArrayList<String>()

    /** The settings; those that can't be parsed have their default. */
    public val settings: EntrySettings = read()

    /** The faults, one sentence for each. */
    public val faults: List<String> = parseFaults + settings.faults()

    private fun read(): EntrySettings {
        val agentHost = text(EntrySetting.AGENT_HOST)
        val agentPort = int(EntrySetting.AGENT_PORT)
        return EntrySettings(
            entryId = EntryId(optional(EntrySetting.ENTRY_ID) ?: "entry-${UUID.randomUUID()}"),
            failureDomain = FailureDomainName(text(EntrySetting.FAILURE_DOMAIN)),
            httpHost = text(EntrySetting.HTTP_HOST),
            httpPort = int(EntrySetting.HTTP_PORT),
            agentHost = agentHost,
            agentPort = agentPort,
            peerPort = int(EntrySetting.PEER_PORT),
            advertisedAddress = optional(EntrySetting.ADVERTISED_ADDRESS) ?: "$agentHost:$agentPort",
            peers = text(EntrySetting.PEERS).split(",").map { it.trim() }.filter { it.isNotEmpty() },
            logUrl = text(EntrySetting.LOG_URL),
            partitions = int(EntrySetting.PARTITIONS),
            flushWindowMillis = long(EntrySetting.FLUSH_WINDOW_MILLIS),
            shutdownMillis = long(EntrySetting.SHUTDOWN_MILLIS),
            logRetentionMillis = long(EntrySetting.LOG_RETENTION_MILLIS),
            notReadyMillis = long(EntrySetting.NOT_READY_MILLIS),
            token = optional(EntrySetting.TOKEN),
            otlpEndpoint = optional(EntrySetting.OTLP_ENDPOINT),
        )
    }

    private fun optional(setting: EntrySetting): String? = values[setting]?.takeIf { it.isNotEmpty() }

    private fun text(setting: EntrySetting): String = values[setting] ?: setting.default.orEmpty()

    private fun int(setting: EntrySetting): Int = long(setting).coerceIn(Int.MIN_VALUE.toLong(), INT_MAXIMUM).toInt()

    private fun long(setting: EntrySetting): Long {
        val text = text(setting)
        return text.toLongOrNull() ?: setting.default.orEmpty().toLong().also {
            parseFaults += "${setting.settingName} is '$text'; it must be a whole number (${setting.unit})"
        }
    }

    private companion object {
        private const val INT_MAXIMUM = Int.MAX_VALUE.toLong()
    }
}
