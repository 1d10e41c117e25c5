package wigeonreel.admission

/**
 * Number of requests that a backend server is given at a time.
 *
 * It starts low on a cold server and grows by one with each good answer until the first sign of congestion. It shrinks
 * when answers are slow against the server's own best time while many run, or when the server sheds, and never exceeds
 * the server's declared slots.
 *
 * @param slots requests that the server says it can run at a time.
 */
class ConcurrencyLimit(
    private var slots: Int,
) {
    private var limit = (slots * COLD_SHARE).coerceAtLeast(MIN_LIMIT)
    private var baseMs = Double.NaN
    private var recentMs = Double.NaN
    private var slowStart = true

    /** Requests allowed at a time. */
    val current: Int get() = limit.toInt().coerceIn(1, slots.coerceAtLeast(1))

    /** Takes a changed number of declared [slots] into account. */
    fun declare(slots: Int) {
        this.slots = slots
        limit = limit.coerceAtMost(slots.toDouble())
    }

    /** Notes an answer that took [elapsedMs] while [inFlight] requests ran. */
    fun onAnswer(elapsedMs: Double, inFlight: Int) {
        recentMs = if (recentMs.isNaN()) elapsedMs else recentMs + (elapsedMs - recentMs) * RECENT_WEIGHT
        baseMs = if (baseMs.isNaN()) elapsedMs else nextBase(elapsedMs)
        val congested = recentMs > baseMs * CONGESTED_RATIO + CONGESTED_SLACK_MS
        if (congested) {
            shrink(SLOW_BACKOFF)
        } else if (inFlight * 2 >= current) {
            grow()
        }
    }

    /** Notes that the server shed a request or failed to answer in time. */
    fun onOverload() = shrink(SHED_BACKOFF)

    private fun nextBase(elapsedMs: Double) = if (elapsedMs < baseMs) elapsedMs else baseMs + (elapsedMs - baseMs) * BASE_WEIGHT

    private fun grow() {
        val step = if (slowStart) 1.0 else GROWTH / limit
        limit = (limit + step).coerceAtMost(slots.toDouble())
    }

    private fun shrink(factor: Double) {
        slowStart = false
        limit = (limit * factor).coerceAtLeast(MIN_LIMIT.coerceAtMost(slots.toDouble()))
    }

    private companion object {
        const val COLD_SHARE = 0.25
        const val MIN_LIMIT = 2.0
        const val RECENT_WEIGHT = 0.1
        const val BASE_WEIGHT = 0.005
        const val CONGESTED_RATIO = 2.0
        const val CONGESTED_SLACK_MS = 2.0
        const val SLOW_BACKOFF = 0.995
        const val SHED_BACKOFF = 0.9
        const val GROWTH = 4.0
    }
}
