package wigeonreel.bench

import wigeonreel.soak.EventQueue

/** Backend server as a queue of a few lines: slots, a service time, slow while cold, sheds when its backlog is full. */
internal class FakeBackend(
    private val queue: EventQueue,
    val slots: Int,
    private val serviceMs: Long,
) {
    private val waiting = ArrayDeque<() -> Unit>()
    private var running = 0

    /** Factor on the service time. */
    var slowFactor = 1.0

    /** Requests that hold or await a slot. */
    val load: Int get() = running + waiting.size

    /** Works on a request, then calls [onWorked]; the slot is held until [release]. Returns false when the server sheds it. */
    fun serve(onWorked: () -> Unit): Boolean {
        if (waiting.size >= slots * BACKLOG_FACTOR) return false
        waiting.addLast(onWorked)
        startNext()
        return true
    }

    /** Frees the slot of a request whose own calls are over, too. */
    fun release() {
        running--
        startNext()
    }

    private fun startNext() {
        if (running >= slots) return
        val onWorked = waiting.removeFirstOrNull() ?: return
        running++
        val spread = (SPREAD_LOW + queue.random.nextDouble()) * serviceMs * slowFactor
        queue.after(spread.toLong().coerceAtLeast(1), onWorked)
    }

    private companion object {
        const val BACKLOG_FACTOR = 4
        const val SPREAD_LOW = 0.5
    }
}
