package wigeonreel.retry

/**
 * Retry budgets of one daemon for each service: retries are limited to a share of the first attempts.
 *
 * The retries of the whole fleet may be a ratio of the requests plus a fixed number per window. Each daemon uses only the
 * ratio of its own requests; the fixed number is reserved for requests that arrive again for other reasons.
 *
 * @param ratio retries allowed per first attempt.
 * @param burst maximum number of unused retries that accumulate per service.
 */
class ServiceRetryBudget(
    private val ratio: Double,
    private val burst: Double,
) {
    private val ratios = HashMap<String, RetryRatio>()

    /** Counts the first attempt of a request to [service]. */
    fun onFirstAttempt(service: String) = ratioOf(service).onFirstAttempt()

    /** Counts a first attempt to [service] made for a request that was itself retried; it uses the budget up instead of adding to it. */
    fun onInheritedRetry(service: String) = ratioOf(service).onInheritedRetry()

    /** Takes one retry from the budget of [service]. Returns false if none is left. */
    fun tryRetry(service: String): Boolean = ratioOf(service).tryRetry()

    private fun ratioOf(service: String) = ratios.getOrPut(service) { RetryRatio(ratio, burst) }
}
