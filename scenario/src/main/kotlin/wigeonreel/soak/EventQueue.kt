package wigeonreel.soak

import java.util.PriorityQueue
import kotlin.random.Random

/** A check that failed, with the events that led to it. */
class InvariantViolation(
    val check: String,
    val detail: String,
    val trace: List<String>,
) : RuntimeException("$check: $detail")

/** Virtual time, seeded chance and a trace; the only thing that the soaks share. */
class EventQueue(
    seed: Long,
) {
    private class Event(
        val atMs: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private val trace = ArrayDeque<String>()
    private var order = 0L

    /** Source of every choice of the run. */
    val random = Random(seed)

    /** Virtual time in milliseconds. */
    var nowMs = START_MS
        private set

    /** Does [action] after [delayMs]. */
    fun after(delayMs: Long, action: () -> Unit) {
        events.add(Event(nowMs + delayMs, order++, action))
    }

    /** Does [action] again and again, with a pause of up to twice [meanMs] between. */
    fun repeatedly(meanMs: Long, action: () -> Unit) {
        after(random.nextLong(meanMs * 2) + 1) {
            action()
            repeatedly(meanMs, action)
        }
    }

    /** Runs all events of the next [durationMs]. */
    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }

    /** Adds a line to the trace that a failed check prints. */
    fun note(line: () -> String) {
        if (trace.size >= TRACE_LINES) trace.removeFirst()
        trace.addLast("${nowMs - START_MS} ${line()}")
    }

    /** Ends the run unless [holds]. */
    fun require(check: String, holds: Boolean, detail: () -> String) {
        if (!holds) throw InvariantViolation(check, detail(), trace.toList())
    }

    /** Returns whether something of the given [probability] happens. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    private companion object {
        const val START_MS = 1_700_000_000_000L
        const val TRACE_LINES = 400
    }
}
