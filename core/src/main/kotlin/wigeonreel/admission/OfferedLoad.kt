package wigeonreel.admission

/**
 * Estimates the demand for one server as a multiple of its capacity, including what entry points shed.
 *
 * An admitted request stands for those of its kind that its entry point shed, so the estimate does not fall when the
 * shedding takes effect, and shedding by it does not oscillate.
 */
class OfferedLoad {
    private var arrivedMs = 0.0
    private var windowStartedAtMs: Long? = null

    /** Slot time that is demanded, as a multiple of the available slot time. */
    var ratio = 0.0
        private set

    /** Counts an arrival of [requests] requests that take [expectedMs] each. */
    fun onArrival(requests: Double, expectedMs: Double) {
        arrivedMs += requests * expectedMs
    }

    /** Ends the window if it is over; the server runs up to [limit] requests at once. */
    fun update(limit: Int, nowMs: Long) {
        val startedAtMs = windowStartedAtMs ?: nowMs
        windowStartedAtMs = startedAtMs
        val elapsedMs = nowMs - startedAtMs
        if (elapsedMs < WINDOW_MS) return
        val weight = (elapsedMs / AVERAGED_MS).coerceAtMost(1.0)
        ratio += (arrivedMs / (elapsedMs.toDouble() * limit) - ratio) * weight
        windowStartedAtMs = nowMs
        arrivedMs = 0.0
    }

    private companion object {
        /** Length of a window, in milliseconds. */
        const val WINDOW_MS = 100L

        /** Time over which windows are averaged, in milliseconds; several service times of the requests that make calls. */
        const val AVERAGED_MS = 400.0
    }
}
