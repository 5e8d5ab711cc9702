/*
 * The state of an entry for operators, the balancer and metrics.
 */
package org.greengagepass.entry.process

import kotlinx.serialization.Serializable
import org.greengagepass.entry.connection.AgentHub
import org.greengagepass.entry.connection.PeerHub
import org.greengagepass.entry.request.RequestRunner
import org.greengagepass.entry.request.stateName
import org.greengagepass.entry.version.ConfigurationService

/** A partition according to this entry. [queueLength] counts records that are not yet appended and read back. */
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

/** The state of an entry. [logLagMillis] is the age of its configuration, absent until one was confirmed. */
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

/** The components of the process whose state is reported. */
public class EntryComponents(
    public val settings: EntrySettings,
    public val configuration: ConfigurationService,
    public val partitions: Partitions,
    public val hub: AgentHub,
    public val peers: PeerHub,
    public val runner: RequestRunner,
) {
    public val clock: MonotonicClock = MonotonicClock.SYSTEM
}

/** Reads the state of [components]. Confined to the process's decision dispatcher. */
public class EntryStatus(
    private val components: EntryComponents,
) {
    /** True once the process has received SIGTERM. */
    @Volatile
    public var isStopping: Boolean = false

    /** Age of the configuration in milliseconds; null if it was never confirmed. */
    public val logLagMillis: Long?
        get() =
            components.configuration.freshness.confirmedAsOf?.let {
                maxOf(0, components.clock.now().millisSince(it))
            }

    /** Why the balancer must not send requests to this entry; empty if it may. */
    public fun notReadyReasons(): List<String> =
        listOfNotNull(
            "the entry is stopping".takeIf { isStopping },
            "the configuration has not been read yet".takeIf {
                components.configuration.freshness.confirmedAsOf == null
            },
            "no agent is connected".takeIf { components.hub.all.isEmpty() },
        )

    /** The state now. */
    public fun view(): StatusView {
        val reasons = notReadyReasons()
        return StatusView(
            entry = components.settings.entryId.value,
            failureDomain = components.settings.failureDomain.value,
            version = EntryStatus::class.java.`package`.implementationVersion ?: "development",
            ready = reasons.isEmpty(),
            notReadyReasons = reasons,
            configurationVersion = components.configuration.view.version.value,
            logAvailable = components.configuration.isLogAvailable,
            logLagMillis = logLagMillis,
            partitions = components.partitions.all.mapIndexed(::statusOf),
            peersConfigured = components.settings.peers.size,
            peersConnected = components.peers.connected,
            agentsConnected = components.hub.all.size,
            requestsInProgress = components.runner.inProgress,
        )
    }

    /** The state now, for the metrics page. */
    public fun sample(): MetricsSample =
        MetricsSample(
            status = view(),
            tasksByState =
                components.partitions.all
                    .flatMap { it.tasks.all }
                    .groupingBy { stateName(it.state) }
                    .eachCount(),
            queueLengthByService =
                components.hub.all
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
