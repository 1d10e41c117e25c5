package wigeonreel.soak

import java.util.PriorityQueue
import kotlin.random.Random

/** Thrown when [check] fails; [trace] holds the most recent events of the run, oldest first. */
class InvariantViolation(
    val check: String,
    val detail: String,
    val trace: List<String>,
) : RuntimeException("$check: $detail")

/**
 * Discrete-event simulator with virtual time and a seeded random generator.
 *
 * Events at the same virtual time run in the order in which they were scheduled.
 */
class EventQueue(
    seed: Long,
) {
    private class Event(
        val atMs: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.sequence }))
    private val trace = ArrayDeque<String>()
    private var sequence = 0L

    /** Source of all random choices of the run; seeded so that a run can be repeated. */
    val random = Random(seed)

    /** Virtual time in milliseconds. */
    var nowMs = START_MS
        private set

    /** Schedules [action] to run after [delayMs] of virtual time. */
    fun after(delayMs: Long, action: () -> Unit) {
        events.add(Event(nowMs + delayMs, sequence++, action))
    }

    /** Schedules [action] repeatedly, at random intervals of 1 to 2 * [meanMs] ms. */
    fun repeatedly(meanMs: Long, action: () -> Unit) {
        after(random.nextLong(meanMs * 2) + 1) {
            action()
            repeatedly(meanMs, action)
        }
    }

    /** Advances virtual time by [durationMs] and runs all events that fall due. */
    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }

    /** Appends a line to the trace that is printed when a check fails; only the last 400 lines are kept. */
    fun appendTrace(line: () -> String) {
        if (trace.size >= TRACE_LINES) trace.removeFirst()
        trace.addLast("${nowMs - START_MS} ${line()}")
    }

    /** Throws [InvariantViolation] for [check] unless [condition]. */
    fun require(check: String, condition: Boolean, detail: () -> String) {
        if (!condition) throw InvariantViolation(check, detail(), trace.toList())
    }

    /** Returns true with the given [probability]. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    private companion object {
        const val START_MS = 1_700_000_000_000L
        const val TRACE_LINES = 400
    }
}
