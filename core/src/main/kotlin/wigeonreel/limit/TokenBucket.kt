package wigeonreel.limit

/**
 * Token bucket that starts empty.
 *
 * @param ratePerSecond tokens added per second.
 * @param burst maximum number of tokens, available and lent ones together.
 */
class TokenBucket(
    ratePerSecond: Double,
    burst: Double,
    startedAtMs: Long,
) {
    private var ratePerMs = ratePerSecond / MS_PER_SECOND
    private var burst = burst
    private var filledAtMs = startedAtMs

    /** Number of available tokens as of the last refill. */
    var available: Double = 0.0
        private set

    /** Refills at the old rate, then changes rate and burst; drops tokens above the new burst. */
    fun reshape(ratePerSecond: Double, burst: Double, nowMs: Long) {
        refill(nowMs, 0.0)
        ratePerMs = ratePerSecond / MS_PER_SECOND
        this.burst = burst
        available = available.coerceAtMost(burst)
    }

    /** Adds the tokens accrued since the last refill, limiting `available + lent` to the burst. */
    fun refill(nowMs: Long, lent: Double) {
        val elapsedMs = (nowMs - filledAtMs).coerceAtLeast(0)
        filledAtMs = maxOf(filledAtMs, nowMs)
        available = (available + elapsedMs * ratePerMs).coerceAtMost((burst - lent).coerceAtLeast(0.0))
    }

    /** Takes up to [tokens] whole tokens and returns the number taken. */
    fun take(tokens: Int): Int {
        val taken = minOf(tokens, available.toInt())
        available -= taken
        return taken
    }

    /** Puts back [tokens] that were taken and not used, up to the burst. */
    fun putBack(tokens: Int) {
        available = (available + tokens).coerceAtMost(burst)
    }

    /** Returns the time until one token is available, in milliseconds; 0 if one is available or the rate is 0. */
    fun waitMs(): Int = if (available >= 1.0 || ratePerMs <= 0.0) 0 else ((1.0 - available) / ratePerMs).toInt() + 1

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
