/*
 * The state of an entry, for operators, for the balancer and for metrics.
 */
package org.greengagepass.entry.process

import kotlinx.serialization.Serializable
import org.greengagepass.entry.connection.AgentHub
import org.greengagepass.entry.connection.PeerHub
import org.greengagepass.entry.request.RequestRunner
import org.greengagepass.entry.request.stateName
import org.greengagepass.entry.version.ConfigurationService

/** A partition as an entry sees it. [queueLength] counts records that wait to be appended or read back. */
@Serializable
public data class PartitionStatus(
    val number: Int,
    val owned: Boolean,
    val owner: String? = null,
    val epoch: Long,
    val queueLength: Int,
    val tasks: Int,
    val waitingTasks: Int,
)

/** The state of an entry. [logLagMillis] is the age of its view of the configuration, absent before the first. */
@Serializable
public data class StatusView(
    val entry: String,
    val failureDomain: String,
    val version: String,
    val ready: Boolean,
    val notReadyReasons: List<String>,
    val configurationVersion: Long,
    val logAvailable: Boolean,
    val logLagMillis: Long? = null,
    val partitions: List<PartitionStatus>,
    val peersConfigured: Int,
    val peersConnected: Int,
    val agentsConnected: Int,
    val requestsInProgress: Int,
)

/** Parts of the process whose state is shown. */
public class EntryParts(
    public val settings: EntrySettings,
    public val configuration: ConfigurationService,
    public val partitions: Partitions,
    public val hub: AgentHub,
    public val peers: PeerHub,
    public val runner: RequestRunner,
) {
    public val clock: MonotonicClock = MonotonicClock.SYSTEM
}

/** Reads the state of [parts]. Confined to the process's decision dispatcher. */
public class EntryStatus(
    private val parts: EntryParts,
) {
    /** True from the moment at which the process was told to stop. */
    @Volatile
    public var isStopping: Boolean = false

    /** Age of the view of the configuration in milliseconds; null if it was never confirmed. */
    public val logLagMillis: Long?
        get() =
            parts.configuration.freshness.confirmedAsOf?.let {
                maxOf(0, parts.clock.now().millisSince(it))
            }

    /** Why the balancer is to send no requests here; empty if it may. */
    public fun notReadyReasons(): List<String> =
        listOfNotNull(
            "the entry is stopping".takeIf { isStopping },
            "the configuration has not been read yet".takeIf { parts.configuration.freshness.confirmedAsOf == null },
            "no agent is connected".takeIf { parts.hub.all.isEmpty() },
        )

    /** The state now. */
    public fun view(): StatusView {
        val reasons = notReadyReasons()
        return StatusView(
            entry = parts.settings.entryId.value,
            failureDomain = parts.settings.failureDomain.value,
            version = EntryStatus::class.java.`package`.implementationVersion ?: "development",
            ready = reasons.isEmpty(),
            notReadyReasons = reasons,
            configurationVersion = parts.configuration.view.version.value,
            logAvailable = parts.configuration.isLogAvailable,
            logLagMillis = logLagMillis,
            partitions = parts.partitions.all.mapIndexed(::statusOf),
            peersConfigured = parts.settings.peers.size,
            peersConnected = parts.peers.connected,
            agentsConnected = parts.hub.all.size,
            requestsInProgress = parts.runner.inProgress,
        )
    }

    /** The state now, for the page of metrics. */
    public fun sample(): MetricsSample =
        MetricsSample(
            status = view(),
            tasksByState =
                parts.partitions.all
                    .flatMap { it.tasks.all }
                    .groupingBy { stateName(it.state) }
                    .eachCount(),
            queueLengthByService =
                parts.hub.all
                    .flatMap { it.heartbeat?.services.orEmpty() }
                    .groupingBy { it.service.value }
                    .fold(0) { sum, state -> sum + state.queueLength },
        )

    private fun statusOf(
        number: Int,
        partition: PartitionService,
    ): PartitionStatus =
        PartitionStatus(
            number = number,
            owned = partition.isOwned,
            owner = partition.ownership.activeOwner?.value,
            epoch = partition.ownership.epoch.value,
            queueLength = partition.queueLength,
            tasks = partition.tasks.all.size,
            waitingTasks = partition.tasks.waiting.size,
        )
}
