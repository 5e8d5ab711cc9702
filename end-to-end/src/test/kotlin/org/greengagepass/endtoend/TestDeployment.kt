/*
 * A small deployment of processes for tests: the log, entries, and hosts with a worker, an executor and an agent. Each
 * process can be started, stopped and paused by its name.
 */
package org.greengagepass.endtoend

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

/** A host of the deployment. */
data class TestHost(
    val name: String,
    val failureDomain: String,
    val worker: String,
    val listen: String,
    val executor: String,
)

/** An entry of the deployment. */
data class TestEntry(
    val name: String,
    val failureDomain: String,
    val url: String,
    val agentAddress: String,
    val peerAddress: String,
)

/** Processes on this machine. Their log files are in a temporary directory. */
class TestDeployment(
    hosts: Int = 3,
    entries: Int = 2,
    private val operationMillis: Map<String, Int> = emptyMap(),
) : AutoCloseable {
    private val logs: Path = Files.createTempDirectory("greengagepass")
    private val processes = LinkedHashMap<String, Process>()
    private val logPort = FreePorts.next()
    val logUrl = "http://127.0.0.1:$logPort"
    val hosts =
        (1..hosts).map { index ->
            TestHost(
                name = "w$index",
                failureDomain = DOMAINS[(index - 1) % DOMAINS.size],
                worker = "http://127.0.0.1:${FreePorts.next()}",
                listen = "127.0.0.1:${FreePorts.next()}",
                executor = "http://127.0.0.1:${FreePorts.next()}",
            )
        }
    val entries =
        (1..entries).map { index ->
            TestEntry(
                name = "e$index",
                failureDomain = DOMAINS[(index - 1) % DOMAINS.size],
                url = "http://127.0.0.1:${FreePorts.next()}",
                agentAddress = "127.0.0.1:${FreePorts.next()}",
                peerAddress = "127.0.0.1:${FreePorts.next()}",
            )
        }
    private var entryStarts = 0

    /** Starts all processes. Does not wait until they are ready. */
    fun start() {
        startStandIn("log", "log", "--port", "$logPort")
        entries.forEach(::startEntry)
        hosts.forEach { host ->
            startStandIn("worker-${host.name}", "worker", "--port", portOf(host.worker), "--name", host.name)
            startAgent(host)
            startExecutor(host)
        }
    }

    /** Starts [entry], also after it has ended. */
    fun startEntry(entry: TestEntry) {
        entryStarts += 1
        val peers = entries.filter { it != entry }.joinToString(",") { it.peerAddress }
        startJava(
            entry.name,
            "org.greengagepass.entry.MainKt",
            listOf(
                "serve",
                "--entry-id=${entry.name}-$entryStarts",
                "--failure-domain=${entry.failureDomain}",
                "--log-url=$logUrl",
                "--http-port=${portOf(entry.url)}",
                "--agent-port=${portOf(entry.agentAddress)}",
                "--peer-port=${portOf(entry.peerAddress)}",
                "--peers=$peers",
            ),
        )
    }

    /** Starts the agent of [host], also after it has ended. */
    fun startAgent(host: TestHost) {
        startJava(
            "agent-${host.name}",
            "org.greengagepass.agent.MainKt",
            listOf(
                "--host=${host.name}",
                "--failure-domain=${host.failureDomain}",
                "--rack=${host.failureDomain}-1",
                "--entries=${entries.joinToString(",") { it.agentAddress }}",
                "--worker=${host.worker}",
                "--listen=${host.listen}",
                "--checkpoint-interval-millis=$CHECKPOINT_INTERVAL_MILLIS",
            ),
        )
    }

    /** Starts the executor of [host]. */
    fun startExecutor(host: TestHost) {
        val operations = operationMillis.flatMap { listOf("--operation-millis", "${it.key}=${it.value}") }
        startStandIn(
            "executor-${host.name}",
            "executor",
            "--port",
            portOf(host.executor),
            "--name",
            host.name,
            "--service",
            SERVICE,
            "--agent",
            "http://${host.listen}",
            *operations.toTypedArray(),
        )
    }

    /** Kills [name] and waits until it has ended. */
    fun kill(name: String) {
        process(name).destroyForcibly().waitFor(EXIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends SIGTERM to [name]. [awaitExit] waits until it has ended. */
    fun terminate(name: String) {
        process(name).destroy()
    }

    /** Waits until [name] has ended. Returns false on a timeout. */
    fun awaitExit(name: String): Boolean = process(name).waitFor(EXIT_SECONDS, TimeUnit.SECONDS)

    /** Suspends [name] until [resume] is called. */
    fun pause(name: String): Unit = signal(name, "STOP")

    /** Resumes [name] after [pause]. */
    fun resume(name: String): Unit = signal(name, "CONT")

    /** Returns the end of each log file, for the message of a failed test. */
    fun logTails(): String =
        processes.keys.joinToString("\n") { name ->
            "== $name\n" + logs.resolve("$name.log").readText().takeLast(LOG_TAIL_CHARACTERS)
        }

    override fun close() {
        processes.values.forEach { it.destroyForcibly() }
        processes.values.forEach { it.waitFor(EXIT_SECONDS, TimeUnit.SECONDS) }
        logs.toFile().deleteRecursively()
    }

    private fun process(name: String): Process = processes.getValue(name)

    private fun signal(
        name: String,
        signal: String,
    ) {
        ProcessBuilder("kill", "-$signal", "${process(name).pid()}").start().waitFor()
    }

    private fun startStandIn(
        name: String,
        vararg arguments: String,
    ): Unit = startJava(name, "org.greengagepass.standins.MainKt", arguments.toList())

    private fun startJava(
        name: String,
        mainClass: String,
        arguments: List<String>,
    ) {
        val command = listOf("java") + JVM_OPTIONS + listOf("-cp", System.getProperty("java.class.path"), mainClass)
        processes[name] =
            ProcessBuilder(command + arguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve("$name.log").toFile()))
                .start()
    }

    companion object {
        const val SERVICE = "tool-belt-orders"
        val DOMAINS = listOf("medina", "port", "sakiet")
        private val JVM_OPTIONS = listOf("-XX:+UseSerialGC", "-Xms16m", "-Xmx96m", "-XX:TieredStopAtLevel=1")

        /** Short enough for several checkpoints of a task in one scenario. */
        private const val CHECKPOINT_INTERVAL_MILLIS = 2_000
        private const val EXIT_SECONDS = 40L
        private const val LOG_TAIL_CHARACTERS = 1_500

        private fun portOf(address: String): String = address.substringAfterLast(':')
    }
}
