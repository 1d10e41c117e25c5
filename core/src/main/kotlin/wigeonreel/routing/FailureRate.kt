package wigeonreel.routing

/** Share of a server's latest requests that failed, which its guard reports so that each daemon need not find out by itself. */
class FailureRate {
    private var rate = 0.0
    private var updatedAtMs = 0L

    /** Counts one request that the server [served] or failed. */
    fun onOutcome(served: Boolean, nowMs: Long) {
        rate = current(nowMs)
        rate += ((if (served) 0.0 else 1.0) - rate) * OUTCOME_WEIGHT
        updatedAtMs = nowMs
    }

    /** Returns the rate, reduced linearly with its age, so that a server without recent requests is tried again. */
    fun current(nowMs: Long): Double = rate * (1.0 - (nowMs - updatedAtMs).toDouble() / DECAY_MS).coerceIn(0.0, 1.0)

    private companion object {
        /** Weight of one outcome; about forty outcomes make up most of the rate. */
        const val OUTCOME_WEIGHT = 0.05

        /** Time in which the rate falls to zero without new outcomes, in milliseconds. */
        const val DECAY_MS = 4_000L
    }
}
