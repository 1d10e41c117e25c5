package wigeonreel.admission

/**
 * Adaptive limit on the requests in flight at a backend server.
 *
 * The limit starts low on a cold server and grows by one with each fast answer until the first sign of congestion (slow
 * start). It shrinks, but not below half of the slots, when the mean answer time rises well above its recent minimum while
 * many requests are in flight. When the server sheds or does not answer in time, it can shrink further. It never exceeds the
 * server's declared slots.
 *
 * @param slots number of concurrent requests that the server declares.
 */
class ConcurrencyLimit(
    private var slots: Int,
) {
    private var limit = (slots * COLD_SLOT_SHARE).coerceAtLeast(MIN_LIMIT)
    private var minMeanMs = Double.NaN
    private var meanMs = Double.NaN
    private var slowStart = true

    /** Maximum number of requests in flight. */
    val current: Int get() = limit.toInt().coerceIn(1, slots.coerceAtLeast(1))

    /** Updates the declared [slots] and lowers the limit to them if it is above. */
    fun updateSlots(slots: Int) {
        this.slots = slots
        limit = limit.coerceAtMost(slots.toDouble())
    }

    /** Adjusts the limit after an answer that took [elapsedMs] with [inFlight] requests in flight. */
    fun onAnswer(elapsedMs: Double, inFlight: Int) {
        meanMs = if (meanMs.isNaN()) elapsedMs else meanMs + (elapsedMs - meanMs) * MEAN_WEIGHT
        minMeanMs = if (minMeanMs.isNaN()) meanMs else minOf(meanMs, minMeanMs * MIN_MEAN_GROWTH)
        val congested = inFlight * 2 >= current && meanMs > minMeanMs * CONGESTED_RATIO + CONGESTED_SLACK_MS
        if (congested) shrink(CONGESTED_BACKOFF, slots * CONGESTED_MIN_SLOT_SHARE) else grow()
    }

    /** Lowers the limit after the server shed a request or failed to answer in time. */
    fun onOverload() = shrink(SHED_BACKOFF, MIN_LIMIT)

    private fun grow() {
        val step = if (slowStart) 1.0 else GROWTH_PER_ROUND / limit
        limit = (limit + step).coerceAtMost(slots.toDouble())
    }

    private fun shrink(factor: Double, floor: Double) {
        slowStart = false
        val minimum = floor.coerceIn(1.0, slots.coerceAtLeast(1).toDouble())
        limit = maxOf(limit * factor, minOf(limit, minimum))
    }

    private companion object {
        const val COLD_SLOT_SHARE = 0.25
        const val MIN_LIMIT = 2.0
        const val MEAN_WEIGHT = 0.05
        const val MIN_MEAN_GROWTH = 1.0005
        const val CONGESTED_MIN_SLOT_SHARE = 0.5
        const val CONGESTED_RATIO = 2.0
        const val CONGESTED_SLACK_MS = 2.0
        const val CONGESTED_BACKOFF = 0.995
        const val SHED_BACKOFF = 0.9

        /** Increase of the limit per round after slow start; a round is as many answers as the limit. */
        const val GROWTH_PER_ROUND = 4.0
    }
}
