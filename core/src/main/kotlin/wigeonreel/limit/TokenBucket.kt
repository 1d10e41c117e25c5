package wigeonreel.limit

/**
 * Token bucket that starts empty.
 *
 * @param ratePerSecond tokens that flow in each second.
 * @param burst most tokens that are available together with what is lent.
 */
class TokenBucket(
    ratePerSecond: Double,
    burst: Double,
    startedAtMs: Long,
) {
    private var ratePerMs = ratePerSecond / MS_PER_SECOND
    private var burst = burst
    private var filledAtMs = startedAtMs

    /** Tokens available at the last refill. */
    var available: Double = 0.0
        private set

    /** Changes rate and burst; tokens above the new burst are dropped. */
    fun reshape(ratePerSecond: Double, burst: Double, nowMs: Long) {
        refill(nowMs, 0.0)
        ratePerMs = ratePerSecond / MS_PER_SECOND
        this.burst = burst
        available = available.coerceAtMost(burst)
    }

    /** Adds what has flowed in, keeping `available + lent` at the burst or below. */
    fun refill(nowMs: Long, lent: Double) {
        val elapsedMs = (nowMs - filledAtMs).coerceAtLeast(0)
        filledAtMs = maxOf(filledAtMs, nowMs)
        available = (available + elapsedMs * ratePerMs).coerceAtMost((burst - lent).coerceAtLeast(0.0))
    }

    /** Takes up to [wanted] whole tokens and returns how many were taken. */
    fun take(wanted: Int): Int {
        val taken = minOf(wanted, available.toInt())
        available -= taken
        return taken
    }

    /** Returns [tokens] that were taken and not used. */
    fun putBack(tokens: Int) {
        available = (available + tokens).coerceAtMost(burst)
    }

    /** Returns the time until one token is available, in milliseconds. */
    fun waitMs(): Int = if (available >= 1.0 || ratePerMs <= 0.0) 0 else ((1.0 - available) / ratePerMs).toInt() + 1

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
