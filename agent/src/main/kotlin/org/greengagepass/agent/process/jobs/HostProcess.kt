/*
 * Assembles the process of an agent on the platform.
 */
package org.greengagepass.agent.process.jobs

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.HostId
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.platform.AnnouncementListener
import org.greengagepass.platform.ExecutorAnnouncements
import org.greengagepass.platform.HttpExecutorClient
import org.greengagepass.platform.HttpIncarnationProbe
import org.greengagepass.platform.LogStateStore
import org.greengagepass.platform.PlatformClient
import org.greengagepass.platform.PlatformSettings
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.SchedulerDialer
import org.greengagepass.services.process.LeaderDirectory
import org.greengagepass.services.process.platformHttpClient
import org.greengagepass.services.process.runRestarting
import java.util.concurrent.Executors

/** Agent process of one host, configured by [settings]. */
internal class HostProcess(
    private val settings: PlatformSettings,
) : AnnouncementListener {
    private val thread = Executors.newSingleThreadExecutor { Thread(it, "agent") }
    private val selector =
        SelectorManager(Executors.newSingleThreadExecutor { Thread(it, "selector") }.asCoroutineDispatcher())
    private val scope = CoroutineScope(SupervisorJob() + thread.asCoroutineDispatcher())
    private val http = platformHttpClient(thread)
    private val metrics = HostMetrics()
    private val directory =
        LeaderDirectory(LogStateStore(PlatformClient(http, settings.storeAddress), settings.storeRecordBytes)) {
            logger.info("could not read the leader's announcement: {}", it.detail)
        }
    private val executorAddress =
        requireNotNull(settings.executorAddress) { "the settings have no executor address" }
    private val supervisor =
        HostSupervisor(
            executorClient = HttpExecutorClient(selector, executorAddress),
            probe = HttpIncarnationProbe(selector, executorAddress),
            directory = directory,
            seedAddresses = settings.seedAddresses,
            context = HostContext(scope, metrics),
        )
    private val announcements =
        ExecutorAnnouncements(
            address = requireNotNull(settings.announcementAddress) { "the settings have no announcement address" },
            host = HostId(settings.processName),
            pool = settings.executorPool,
            listener = this,
            metrics = metrics::text,
        )
    private val dialer = SchedulerDialer(FrameConnector(selector), scope, supervisor)

    /** Runs until the process ends. Tasks keep running under their lease, which the next agent extends. */
    suspend fun run() {
        Runtime.getRuntime().addShutdownHook(Thread { logger.info("agent {} is stopping", settings.processName) })
        logger.info("agent {} is starting", settings.processName)
        announcements.start()
        launchRestarting("leader directory") { directory.follow() }
        launchRestarting("connection to the leader") { dialer.run() }
        CompletableDeferred<Unit>().await()
    }

    private fun launchRestarting(
        name: String,
        work: suspend () -> Unit,
    ) {
        scope.launch {
            runRestarting({ logger.error("unexpected error in {}, which is started again", name, it) }, work)
        }
    }

    override fun onAlive(description: HostDescription) {
        scope.launch { supervisor.registration.onHeartbeat(description) }
    }

    override fun onDeregistered(
        executor: ExecutorName,
        startedAtEpochMillis: Long?,
    ) {
        scope.launch { supervisor.onDeregistered(executor, startedAtEpochMillis) }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")
    }
}
