package wigeonreel.retry

/**
 * Bounds the repeated arrivals at each service to a share of the first ones, as one daemon sees them.
 *
 * The fleet's bound is a ratio of the requests plus a fixed number in each window. Each daemon spends the ratio of its
 * own requests; the fixed number is left to arrivals that are repeats for other reasons.
 *
 * @param ratio repeats allowed for each first request.
 * @param reserve repeats allowed at once after a quiet time.
 */
class RepeatBudget(
    private val ratio: Double,
    private val reserve: Double,
) {
    private val ratios = HashMap<String, RetryRatio>()

    /** Notes the first send of a request to [service]. */
    fun onFirst(service: String) = ratioOf(service).onFirstAttempt()

    /** Returns whether a repeat may go to [service] now, and counts it. */
    fun tryRepeat(service: String): Boolean = ratioOf(service).tryRetry()

    private fun ratioOf(service: String) = ratios.getOrPut(service) { RetryRatio(ratio, reserve) }
}
