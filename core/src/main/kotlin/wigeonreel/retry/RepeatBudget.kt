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
    private val tokens = HashMap<String, Double>()

    /** Notes the first send of a request to [service]. */
    fun onFirst(service: String) {
        tokens[service] = (tokensOf(service) + ratio).coerceAtMost(reserve)
    }

    /** Returns whether a repeat may go to [service] now, and counts it. */
    fun tryRepeat(service: String): Boolean {
        val available = tokensOf(service)
        if (available < 1.0) return false
        tokens[service] = available - 1.0
        return true
    }

    private fun tokensOf(service: String) = tokens.getOrPut(service) { reserve }
}
