package wigeonreel.admission

/**
 * Adaptive throttle of the arrivals at a backend server, driven by the refusals of the calls that the server makes.
 *
 * Load pattern: a service deep in the call graph has less capacity than the calls of all admitted requests need. Each
 * request makes several calls to it. If one call in five is refused, most requests fail after most of their work was done,
 * and retries add load. The guard of the calling server therefore refuses whole requests in proportion to the refused
 * calls. Its refusals have the same effect on the guard one level up, and so on to the entry point, where a refused request
 * has cost no work yet.
 */
class CallFeedback {
    /** Admits a given share of the arrivals at even intervals. */
    private class Credit {
        private var balance = 0.0

        fun take(share: Double): Boolean {
            balance += share
            return (balance >= 1.0).also { if (it) balance -= 1.0 }
        }
    }

    private var admittedShare = 1.0
    private val credit = Credit()
    private val urgentCredit = Credit()
    private var calls = 0
    private var refusedCalls = 0
    private var windowEndsAtMs = 0L

    /** Counts a finished call of the server; [overloaded] is true if a downstream guard refused it for lack of capacity. */
    fun onCall(overloaded: Boolean, nowMs: Long) {
        rollWindow(nowMs)
        calls++
        if (overloaded) refusedCalls++
    }

    /** Returns whether the next arrival is admitted; [urgent] arrivals are admitted at a higher share. */
    fun admits(urgent: Boolean, nowMs: Long): Boolean {
        rollWindow(nowMs)
        if (admittedShare >= 1.0) return true
        return if (urgent) urgentCredit.take((admittedShare * URGENT_FACTOR).coerceAtMost(1.0)) else credit.take(admittedShare)
    }

    private fun rollWindow(nowMs: Long) {
        val tooFew = refusedCalls > 0 && calls < MIN_CALLS && nowMs < windowEndsAtMs + MAX_WINDOW_MS - WINDOW_MS
        if (nowMs < windowEndsAtMs || tooFew) return
        windowEndsAtMs = nowMs + WINDOW_MS
        val refusedShare = if (calls >= MIN_CALLS) refusedCalls.toDouble() / calls else 0.0
        admittedShare =
            if (refusedShare > TOLERATED_REFUSED_SHARE) {
                (admittedShare * (1.0 - refusedShare)).coerceAtLeast(MIN_ADMITTED_SHARE)
            } else {
                (admittedShare + RECOVERY_PER_WINDOW).coerceAtMost(1.0)
            }
        calls = 0
        refusedCalls = 0
    }

    private companion object {
        /** Length of a counting window, in milliseconds; most requests finish with all their calls within it. */
        const val WINDOW_MS = 250L

        /**
         * Maximum length of a window that has refused calls but fewer than [MIN_CALLS], in milliseconds.
         *
         * In a large fleet a server makes only a few calls per second.
         */
        const val MAX_WINDOW_MS = 2_000L

        /** Minimum number of calls in a window for its refused share to be meaningful. */
        const val MIN_CALLS = 5

        /** Share of refused calls that does not reduce admission; these calls succeed on another server or on a retry. */
        const val TOLERATED_REFUSED_SHARE = 0.02

        /** Increase of the admitted share per window without excess refusals: from the minimum to 1 in four seconds. */
        const val RECOVERY_PER_WINDOW = 0.06

        /** Minimum admitted share, so that some requests still show whether downstream capacity is available again. */
        const val MIN_ADMITTED_SHARE = 0.1

        /** Factor on the admitted share for urgent arrivals. */
        const val URGENT_FACTOR = 2.0
    }
}
