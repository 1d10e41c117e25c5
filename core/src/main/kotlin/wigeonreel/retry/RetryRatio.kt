package wigeonreel.retry

/**
 * Retry budget of one daemon: limits retries to a share of the first attempts, so that retries can't sustain an overload.
 *
 * @param ratio retries allowed per first attempt.
 * @param burst maximum number of unused retries that accumulate; also the initial number.
 */
class RetryRatio(
    private val ratio: Double = 0.1,
    private val burst: Double = 10.0,
) {
    private var tokens = burst

    /** Counts a first attempt, which adds [ratio] retries to the budget. */
    fun onFirstAttempt() {
        tokens = (tokens + ratio).coerceAtMost(burst)
    }

    /** Counts a retry that was made elsewhere but adds load here. */
    fun onInheritedRetry() {
        tokens = (tokens - 1.0).coerceAtLeast(-burst)
    }

    /** Takes one retry from the budget. Returns false if none is left. */
    fun tryRetry(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
