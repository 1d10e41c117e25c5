package wigeonreel.limit

import kotlin.math.ceil

/** Result of taking a token. */
enum class Taken { YES, NO, ASK }

/**
 * One daemon's tokens of one account: what it asked of the pool ahead of need, kept for a short time.
 *
 * Load pattern: in a fleet of a hundred daemons and accounts, most accounts send one request in seconds to a daemon, and
 * a token kept for the next one lapses unused while the account is refused elsewhere. Only steady demand is covered
 * ahead; for the rest the pool is asked when a request comes.
 */
class TokenStock(
    startedAtMs: Long,
) {
    private var tokens = 0
    private var expiresAtMs = 0L
    private var dryUntilMs = 0L
    private var asked = 0
    private var demandPerMs = 0.0
    private var measuredAtMs = startedAtMs

    /** Takes one token; [Taken.ASK] means that the pool has to be asked. */
    fun take(nowMs: Long): Taken {
        asked++
        if (nowMs >= expiresAtMs) tokens = 0
        return when {
            tokens > 0 -> Taken.YES.also { tokens-- }
            nowMs < dryUntilMs -> Taken.NO
            else -> Taken.ASK
        }
    }

    /** Returns the token of a request that was not run. */
    fun giveBack() {
        tokens++
    }

    /** Closes a report interval; returns how many tokens to ask for ahead of need. */
    fun wanted(nowMs: Long): Int {
        // A stock begins with a request, so a shorter interval would take that one for steady demand.
        val latest = asked / (nowMs - measuredAtMs).toDouble().coerceAtLeast(AHEAD_MS)
        demandPerMs += (latest - demandPerMs) * DEMAND_WEIGHT
        asked = 0
        measuredAtMs = nowMs
        if (nowMs >= expiresAtMs) tokens = 0
        if (nowMs < dryUntilMs) return 0
        return (ceil(demandPerMs * AHEAD_MS).toInt() - tokens).coerceAtLeast(0).takeIf { demandPerMs * AHEAD_MS > LEAST_DEMAND } ?: 0
    }

    /** Takes what the pool handed out. */
    fun onGrant(grant: TokenGrant, nowMs: Long) {
        tokens += grant.tokens
        if (grant.tokens > 0) expiresAtMs = nowMs + KEPT_MS
        if (grant.tokens == 0 && grant.waitMs > 0) dryUntilMs = nowMs + grant.waitMs.coerceIn(LEAST_DRY_MS, MOST_DRY_MS)
    }

    /** Time after which a refused request may be within the limit again, in milliseconds. */
    fun waitMs(nowMs: Long): Int = (dryUntilMs - nowMs).toInt().coerceIn(LEAST_DRY_MS, MOST_DRY_MS)

    private companion object {
        /** Weight of the latest report interval in the demand. */
        const val DEMAND_WEIGHT = 0.4

        /** Time whose demand is covered ahead, in milliseconds: one report interval. */
        const val AHEAD_MS = 500.0

        /** Least expected requests in that time for which tokens are kept, so that all but one in fifty are used before they lapse. */
        const val LEAST_DEMAND = 2.0

        /** Time for which unused tokens are kept, in milliseconds. */
        const val KEPT_MS = 1_000L
        const val LEAST_DRY_MS = 30
        const val MOST_DRY_MS = 500
    }
}
