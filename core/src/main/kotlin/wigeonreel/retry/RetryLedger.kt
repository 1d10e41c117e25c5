package wigeonreel.retry

/**
 * Retry budget of one request at one daemon.
 *
 * The budget is granted once, at the entry. Each child call reserves a part and returns what it did not spend, so the
 * retries of the whole request tree never exceed the grant. A part whose reply is lost counts as spent.
 *
 * @param granted number of retries that this request and all its child calls may make together.
 */
class RetryLedger(
    val granted: Int,
) {
    private val failedCalls = HashSet<Int>()

    /** Number of retries that may still be made or reserved for child calls. */
    var remaining: Int = granted
        private set

    /** Number of retries spent, including reserved parts that were not returned. */
    val spent: Int get() = granted - remaining

    /** Reserves up to [retries] retries and returns the number reserved. */
    fun reserve(retries: Int): Int {
        val taken = retries.coerceIn(0, remaining)
        remaining -= taken
        return taken
    }

    /** Puts back the part of a reservation that a child call did not spend. */
    fun settle(reserved: Int, spent: Int) {
        val unspent = (reserved - spent).coerceIn(0, reserved)
        remaining = (remaining + unspent).coerceAtMost(granted)
    }

    /** Records that the call with this [fingerprint] failed, so that another call with it counts as a retry. */
    fun recordFailure(fingerprint: Int) {
        if (failedCalls.size < MAX_FAILED_CALLS) failedCalls += fingerprint
    }

    /** Returns whether a call may start; a retry of a failed call takes one retry from the budget. */
    fun admitCall(fingerprint: Int): Boolean {
        val isRetry = fingerprint in failedCalls || failedCalls.size >= MAX_FAILED_CALLS
        return !isRetry || reserve(1) == 1
    }

    private companion object {
        const val MAX_FAILED_CALLS = 64
    }
}
