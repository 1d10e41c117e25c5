package wigeonreel.retry

/**
 * Retry budget of one request at one daemon.
 *
 * The budget is granted once, at the entry. Each child call takes a part and gives back what it did not spend,
 * so the retries of the whole tree never exceed the grant. A part whose reply is lost stays spent.
 *
 * @param granted retries that this request and all its child calls may make together.
 */
class RetryLedger(
    val granted: Int,
) {
    private val failedCalls = HashSet<Int>()

    /** Retries that may still be made or handed to child calls. */
    var remaining: Int = granted
        private set

    /** Retries spent so far, parts that were not given back included. */
    val spent: Int get() = granted - remaining

    /** Takes up to [wanted] retries and returns how many were taken. */
    fun reserve(wanted: Int): Int {
        val taken = wanted.coerceIn(0, remaining)
        remaining -= taken
        return taken
    }

    /** Returns the part of a reservation that a child call did not spend. */
    fun settle(reserved: Int, spent: Int) {
        val unspent = (reserved - spent).coerceIn(0, reserved)
        remaining = (remaining + unspent).coerceAtMost(granted)
    }

    /** Notes that the call with this [fingerprint] failed, so that a repeat of it counts as a retry. */
    fun noteFailure(fingerprint: Int) {
        if (failedCalls.size < MAX_FAILED_CALLS) failedCalls += fingerprint
    }

    /** Returns whether a call may start; a repeat of a failed call takes one retry. */
    fun admitCall(fingerprint: Int): Boolean {
        val repeat = fingerprint in failedCalls || failedCalls.size >= MAX_FAILED_CALLS
        return !repeat || reserve(1) == 1
    }

    private companion object {
        const val MAX_FAILED_CALLS = 64
    }
}
