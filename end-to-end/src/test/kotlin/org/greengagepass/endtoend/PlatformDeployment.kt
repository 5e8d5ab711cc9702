/*
 * The programs for the platform as processes: entries, and agents with the stand-in of an executor each. The stand-ins
 * of the store and the executors are part of the test's own process.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.ExecutorPlace
import org.greengagepass.platform.standin.ExecutorStandIn
import org.greengagepass.platform.standin.RunHistory
import org.greengagepass.platform.standin.StandInSettings
import org.greengagepass.platform.standin.StoreStandIn
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** A machine with an agent and an executor. */
class PlatformHost(
    val name: String,
    val executorName: String,
    val executor: ExecutorStandIn,
    /** Where the agent listens for the executor, as `host:port`. */
    val announcementAddress: String,
    val settings: String,
)

/** An entry; callers reach it at [host] and [callerPort]. */
data class PlatformEntry(
    val name: String,
    val host: String,
    val callerPort: Int,
    val settings: String,
)

/** Processes on this machine, each at its own loopback address. Their log files are in a temporary directory. */
class PlatformDeployment(
    hostCount: Int,
    entryCount: Int,
) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("greengagepass-platform")
    private val processes = ConcurrentHashMap<String, Process>()
    private val ended = ConcurrentHashMap.newKeySet<Long>()
    private val unexpectedEnds = ConcurrentHashMap.newKeySet<String>()
    private val internalPort = FreePorts.next()
    private val callerPort = FreePorts.next()
    private val executorPort = FreePorts.next()
    private val announcementPort = FreePorts.next()
    private val entryHosts = (1..entryCount).map { "127.0.1.$it" }
    val history = RunHistory()
    val store = StoreStandIn("127.0.0.1:${FreePorts.next()}")
    private val settings = StandInSettings(store.address, internalPort, entryHosts)
    val entries =
        entryHosts.mapIndexed { index, host ->
            val name = "entry-${index + 1}"
            val zone = zone(index)
            PlatformEntry(name, host, callerPort, settings.entry(name, zone, host, callerPort, FreePorts.next()))
        }
    val hosts =
        (1..hostCount).map { number ->
            val place =
                ExecutorPlace(
                    name = "executor-$number",
                    address = "127.0.2.$number:$executorPort",
                    agentAddress = "127.0.2.$number:$announcementPort",
                    pool = POOL,
                    zone = zone(number),
                )
            val name = "agent-$number"
            PlatformHost(
                name = name,
                executorName = place.name,
                executor = ExecutorStandIn(place, history),
                announcementAddress = place.agentAddress,
                settings = settings.agent(name, "127.0.2.$number", place),
            )
        }

    /** Starts the store, all processes and all executors. Does not wait until they are ready. */
    fun start() {
        store.start()
        store.put(
            StandInSettings.OPERATOR_TOPIC,
            StandInSettings.CONFIGURATION_KEY,
            StandInSettings.configuration(JobCaller.HOST_NAME, JobCaller.PATH_PREFIX, POOL),
        )
        entries.forEach(::startEntry)
        hosts.forEach(::startAgent)
        hosts.forEach { it.executor.start() }
    }

    /** Starts [entry], also after it has ended. */
    fun startEntry(entry: PlatformEntry) {
        val options = listOf("-Xmx160m", "-Dlog4j2.configurationFile=log4j2-platform.xml")
        startJava(entry.name, entry.settings, options, listOf("org.greengagepass.entry.MainKt", "schedule"))
    }

    /** Starts the agent of [host], also after it has ended. */
    fun startAgent(host: PlatformHost) {
        startJava(host.name, host.settings, listOf("-Xmx64m"), listOf("org.greengagepass.agent.MainKt", "host"))
    }

    /** Kills [name] and waits until it has ended. */
    fun kill(name: String) {
        history.note("$name is killed")
        val process = expectEnd(name)
        process.destroyForcibly().waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGTERM to [name], and SIGKILL if it has not ended in the time that the platform grants. */
    fun terminate(name: String) {
        history.note("$name gets SIGTERM")
        val process = expectEnd(name)
        process.destroy()
        if (!process.waitFor(StandInSettings.GRACE_SECONDS.toLong(), TimeUnit.SECONDS)) process.destroyForcibly()
        process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
        history.note("$name has ended")
    }

    /** Suspends [name] until [resume] is called. */
    fun pause(name: String): Unit = signal(name, "STOP")

    /** Resumes [name] after [pause]. */
    fun resume(name: String): Unit = signal(name, "CONT")

    /** Processes that ended although nothing ended them. */
    fun ownEnds(): List<String> =
        unexpectedEnds.toList() +
            processes
                .filterValues { !it.isAlive && it.pid() !in ended }
                .map { (name, process) -> "$name ended with ${process.exitValue()}" }

    /** Lines of the log of [name] that contain [text]. */
    fun logLines(
        name: String,
        text: String,
    ): List<String> = logFile(name).readText().lines().filter { text in it }

    /** Copies all log files to [target]. */
    fun keepLogs(target: Path) {
        directory.toFile().copyRecursively(target.toFile(), overwrite = true)
    }

    override fun close() {
        hosts.forEach { it.executor.close() }
        processes.values.forEach { it.destroyForcibly() }
        processes.values.forEach { it.waitFor(EXIT_SECONDS, TimeUnit.SECONDS) }
        store.close()
        directory.toFile().deleteRecursively()
    }

    private fun expectEnd(name: String): Process {
        val process = processes.getValue(name)
        if (!process.isAlive) unexpectedEnds += "$name ended with ${process.exitValue()}"
        ended += process.pid()
        return process
    }

    private fun signal(
        name: String,
        signal: String,
    ) {
        history.note("$name gets SIG$signal")
        ProcessBuilder("kill", "-$signal", "${processes.getValue(name).pid()}").start().waitFor()
    }

    private fun startJava(
        name: String,
        settingsText: String,
        options: List<String>,
        program: List<String>,
    ) {
        history.note("$name starts")
        val settingsFile = directory.resolve("$name.json").also { it.writeText(settingsText) }
        val classPath = listOf("-cp", System.getProperty("java.class.path"))
        val builder =
            ProcessBuilder(listOf("java") + JVM_OPTIONS + options + classPath + program)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()))
        builder.environment()["GREENGAGEPASS_NODE_FILE"] = "$settingsFile"
        processes[name] = builder.start()
    }

    private fun logFile(name: String): Path = directory.resolve("$name.log")

    companion object {
        private const val POOL = "batch"
        private val ZONES = listOf("medina", "port", "sakiet")
        private val JVM_OPTIONS = listOf("-XX:+UseSerialGC", "-Xms16m", "-Xss256k", "-XX:TieredStopAtLevel=1")
        private const val EXIT_SECONDS = 20L

        private fun zone(index: Int): String = ZONES[index % ZONES.size]
    }
}
