/*
 * Measures the resources that an agent uses: starts bin/greengagepass-agent beside stand-ins, gives it 32 tasks, then
 * reads its memory, processor share and bytes per second, first with heartbeats and tasks only, then also with
 * requests. Run by bin/measure-agent.
 */
package org.greengagepass.agent

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.greengagepass.core.Resources
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

private const val TASKS = 32
private const val TICKS_PER_SECOND = 100.0

private class FootprintCommand : CoreCliktCommand(name = "measure-agent") {
    private val seconds by option("--seconds", help = "of each phase").int().default(30)
    private val warmUpSeconds by option("--warm-up-seconds", help = "before each phase").int().default(15)
    private val requestsPerSecond by option("--requests-per-second").int().default(20)

    override fun run() =
        Platform().use { platform ->
            FakeEntry().use { entry ->
                Relay(entry.port).use { relay ->
                    Footprint(platform, entry, relay).measure(seconds, warmUpSeconds, requestsPerSecond)
                }
            }
        }
}

fun main(arguments: Array<String>) = FootprintCommand().main(arguments)

private class Footprint(
    private val platform: Platform,
    private val entry: FakeEntry,
    private val relay: Relay,
) {
    fun measure(
        seconds: Int,
        warmUpSeconds: Int,
        requestsPerSecond: Int,
    ) = runBlocking {
        entry.address = "127.0.0.1:${relay.port}"
        val listenPort = ServerSocket(0).use { it.localPort }
        val process = launchAgent(listenPort)
        try {
            entry.awaitReady()
            val announcing = launch { platform.announcer(listenPort).run() }
            val starts = (1L..TASKS).map { FakeEntry.task(it, limit = Resources(50, 50), input = INPUT) }
            entry.grant(starts = starts)
            delay(warmUpSeconds * 1_000L)
            phase("heartbeats and $TASKS tasks", process, seconds)
            val requests = sendRequests(requestsPerSecond)
            delay(warmUpSeconds * 1_000L)
            phase("and $requestsPerSecond requests/s", process, seconds)
            requests.cancel()
            announcing.cancel()
        } finally {
            process.destroy()
            process.waitFor()
        }
    }

    private fun CoroutineScope.sendRequests(perSecond: Int): Job =
        launch {
            var number = 0
            while (true) {
                entry.dispatch("measured-${number++}#1")
                delay(1_000L / perSecond)
            }
        }

    private suspend fun phase(
        name: String,
        process: Process,
        seconds: Int,
    ) {
        val bytesBefore = relay.bytes.get()
        val ticksBefore = ticks(process.pid())
        delay(seconds * 1_000L)
        val share = (ticks(process.pid()) - ticksBefore) / TICKS_PER_SECOND / seconds * 100
        val bytes = (relay.bytes.get() - bytesBefore) / seconds
        val memory = status(process.pid()).joinToString(", ")
        println("$name: %.2f%% of a core, $bytes B/s on the entry connection, $memory".format(share))
    }

    private fun launchAgent(listenPort: Int): Process =
        ProcessBuilder(
            listOf(Path.of(System.getProperty("agent.script", "bin/greengagepass-agent")).toString()) +
                listOf("--host", "host", "--failure-domain", "medina", "--rack", "rack") +
                listOf("--entries", entry.address, "--worker", "http://127.0.0.1:${platform.workerPort}") +
                listOf("--listen", "127.0.0.1:$listenPort", "--reserve-memory-megabytes", "1000"),
        ).redirectErrorStream(true)
            .redirectOutput(Path.of(System.getProperty("agent.log", "/dev/null")).toFile())
            .start()

    private fun ticks(pid: Long): Long {
        val fields = Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").split(' ')
        return fields[11].toLong() + fields[12].toLong()
    }

    private fun status(pid: Long): List<String> =
        Files
            .readAllLines(Path.of("/proc/$pid/status"))
            .filter {
                it.startsWith("VmHWM") || it.startsWith("VmRSS") || it.startsWith("RssAnon") ||
                    it.startsWith("Threads")
            }.map { it.replace(Regex("\\s+"), " ") }

    private companion object {
        private const val INPUT = """{"standing":true,"milliCores":50,"memoryMegabytes":10}"""
    }
}
