package wigeonreel.retry

/**
 * Bounds retries to a share of first attempts at one daemon, so that retries can't keep an overload going.
 *
 * @param ratio retries allowed for each first attempt.
 * @param reserve retries allowed after a quiet time.
 */
class RetryRatio(
    private val ratio: Double = 0.1,
    private val reserve: Double = 10.0,
) {
    private var tokens = reserve

    /** Notes a first attempt. */
    fun onFirstAttempt() {
        tokens = (tokens + ratio).coerceAtMost(reserve)
    }

    /** Returns whether a retry may be made now, and counts it. */
    fun tryRetry(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
