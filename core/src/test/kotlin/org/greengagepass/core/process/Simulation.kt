/*
 * Simulated time and network: the seed determines the order of events.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp
import java.util.PriorityQueue
import kotlin.random.Random

internal class Simulation(
    seed: Long,
) {
    val random = Random(seed)
    var now = 0L
        private set

    /** While true, no message is lost, duplicated or late. */
    var isReliable = false
    private var number = 0L
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))

    private class Event(
        val at: Long,
        val number: Long,
        val action: () -> Unit,
    )

    fun at(
        time: Long,
        action: () -> Unit,
    ) {
        events += Event(maxOf(time, now), number++, action)
    }

    fun after(
        delay: LongRange,
        action: () -> Unit,
    ) = at(now + delay.random(random), action)

    fun every(
        period: Long,
        action: () -> Boolean,
    ) {
        at(now + period) { if (action()) every(period, action) }
    }

    fun chance(percent: Int): Boolean = random.nextInt(100) < percent

    /** Delivers a message, which may be lost, duplicated, or delayed so that later messages overtake it. */
    fun send(message: () -> Unit) {
        if (!isReliable && chance(percent = 4)) return
        val copies = if (!isReliable && chance(percent = 4)) 2 else 1
        repeat(copies) {
            val isLate = !isReliable && chance(percent = 4)
            after(if (isLate) 100L..12_000L else 1L..15L, message)
        }
    }

    fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = end
    }
}

/** The clock of a process or worker, with an offset and a drift of at most 0.05 %. */
internal class DriftingClock(
    private val simulation: Simulation,
) {
    private val offset = simulation.random.nextLong(1_000_000)
    private val rate = 1 + (simulation.random.nextInt(1001) - 500) / 1_000_000.0

    fun read(): Timestamp = Timestamp(offset + (simulation.now * rate).toLong())

    /** The simulated time at which the clock shows [reading]. */
    fun trueTime(reading: Timestamp): Long = ((reading.millis - offset) / rate).toLong()
}
