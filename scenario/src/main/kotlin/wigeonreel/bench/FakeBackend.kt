package wigeonreel.bench

import wigeonreel.soak.EventQueue

/** Simulated backend server with slots and a random service time; it sheds requests when its backlog is full. */
internal class FakeBackend(
    private val queue: EventQueue,
    val slots: Int,
    private val serviceMs: Long,
) {
    private val waiting = ArrayDeque<() -> Unit>()
    private var running = 0

    /** Factor applied to the service time, above 1.0 while the server is slow. */
    var slowFactor = 1.0

    /** Number of requests that hold a slot or wait for one. */
    val load: Int get() = running + waiting.size

    /**
     * Queues a request and calls [onWorkDone] after its service time; the request holds its slot until [release].
     *
     * Returns false if the server sheds the request.
     */
    fun serve(onWorkDone: () -> Unit): Boolean {
        if (waiting.size >= slots * BACKLOG_FACTOR) return false
        waiting.addLast(onWorkDone)
        startNext()
        return true
    }

    /** Frees the slot of a request after its work and its nested calls are done. */
    fun release() {
        running--
        startNext()
    }

    private fun startNext() {
        if (running >= slots) return
        val onWorkDone = waiting.removeFirstOrNull() ?: return
        running++
        val workMs = (MIN_TIME_FACTOR + queue.random.nextDouble()) * serviceMs * slowFactor
        queue.after(workMs.toLong().coerceAtLeast(1), onWorkDone)
    }

    private companion object {
        const val BACKLOG_FACTOR = 4
        const val MIN_TIME_FACTOR = 0.5
    }
}
