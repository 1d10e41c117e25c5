package wigeonreel.admission

/**
 * Number of requests that a backend server is given at a time.
 *
 * It starts low on a cold server and grows by one with each good answer until the first sign of congestion. It shrinks
 * when the mean time of answers rises against its own low while many run, down to half of the slots, and when the server
 * sheds, further down. It never exceeds the server's declared slots.
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
        baseMs = if (baseMs.isNaN()) recentMs else minOf(recentMs, baseMs * BASE_GROWTH)
        val congested = inFlight * 2 >= current && recentMs > baseMs * CONGESTED_RATIO + CONGESTED_SLACK_MS
        if (congested) shrink(SLOW_BACKOFF, slots * SLOW_FLOOR_SHARE) else grow()
    }

    /** Notes that the server shed a request or failed to answer in time. */
    fun onOverload() = shrink(SHED_BACKOFF, MIN_LIMIT)

    private fun grow() {
        val step = if (slowStart) 1.0 else GROWTH / limit
        limit = (limit + step).coerceAtMost(slots.toDouble())
    }

    private fun shrink(factor: Double, floor: Double) {
        slowStart = false
        val lowest = floor.coerceIn(1.0, slots.coerceAtLeast(1).toDouble())
        limit = maxOf(limit * factor, minOf(limit, lowest))
    }

    private companion object {
        const val COLD_SHARE = 0.25
        const val MIN_LIMIT = 2.0
        const val RECENT_WEIGHT = 0.05
        const val BASE_GROWTH = 1.0005
        const val SLOW_FLOOR_SHARE = 0.5
        const val CONGESTED_RATIO = 2.0
        const val CONGESTED_SLACK_MS = 2.0
        const val SLOW_BACKOFF = 0.995
        const val SHED_BACKOFF = 0.9
        const val GROWTH = 4.0
    }
}
