package wigeonreel.admission

/**
 * Share of the arrivals at a backend server that its guard lets in, learned from the calls that the server makes.
 *
 * Load pattern: a deep service has less room than the calls of all admitted requests need. Each request makes several
 * calls there, so with one call in five refused most requests fail after their work was done, and repeats add more. The
 * guard above turns whole requests away instead, in proportion to the calls that are refused, and its own refusals
 * reach the guard above it in the same way, up to the entry, where nothing has run yet.
 */
class CallFeedback {
    /** Lets in a share of what asks, evenly spread. */
    private class Credit {
        private var saved = 0.0

        fun take(share: Double): Boolean {
            saved += share
            return (saved >= 1.0).also { if (it) saved -= 1.0 }
        }
    }

    private var share = 1.0
    private val credit = Credit()
    private val urgentCredit = Credit()
    private var calls = 0
    private var refused = 0
    private var windowEndsAtMs = 0L

    /** Notes that a call of the server ended; [refusedForRoom] when a guard below had no room for it. */
    fun onCall(refusedForRoom: Boolean, nowMs: Long) {
        roll(nowMs)
        calls++
        if (refusedForRoom) refused++
    }

    /** Returns whether the next arrival is let in; [urgent] ones are turned away last. */
    fun admits(urgent: Boolean, nowMs: Long): Boolean {
        roll(nowMs)
        if (share >= 1.0) return true
        return if (urgent) urgentCredit.take((share * URGENT_FACTOR).coerceAtMost(1.0)) else credit.take(share)
    }

    private fun roll(nowMs: Long) {
        val tooFew = refused > 0 && calls < LEAST_CALLS && nowMs < windowEndsAtMs + LONGEST_WINDOW_MS - WINDOW_MS
        if (nowMs < windowEndsAtMs || tooFew) return
        windowEndsAtMs = nowMs + WINDOW_MS
        val part = if (calls >= LEAST_CALLS) refused.toDouble() / calls else 0.0
        share = if (part > TOLERATED) (share * (1.0 - part)).coerceAtLeast(LEAST_SHARE) else (share + RECOVERY).coerceAtMost(1.0)
        calls = 0
        refused = 0
    }

    private companion object {
        /** Time over which calls are counted, in milliseconds: longer than a request with its calls mostly takes. */
        const val WINDOW_MS = 250L

        /** Time over which too few calls with refused ones are gathered, in milliseconds; in a large fleet a server makes few. */
        const val LONGEST_WINDOW_MS = 2_000L

        /** Fewer calls in a window tell nothing. */
        const val LEAST_CALLS = 5

        /** Share of refused calls that is let pass; the others find room elsewhere or in a repeat. */
        const val TOLERATED = 0.02

        /** Rise of the share in a window without refusals: from the least to all in four seconds. */
        const val RECOVERY = 0.06

        /** Least share, so that room below is noticed. */
        const val LEAST_SHARE = 0.1

        /** The most urgent are let in at twice the share. */
        const val URGENT_FACTOR = 2.0
    }
}
