package wigeonreel.limit

import kotlin.math.ceil

/** Result of taking a token from a [TokenStock]. */
enum class TakeResult { TAKEN, REFUSED, ASK_POOL }

/**
 * One daemon's tokens of one account, prefetched from the pool and kept for a short time.
 *
 * Load pattern: in a fleet of a hundred daemons and accounts, most accounts send a daemon one request every few seconds. A
 * token kept for the next request would expire unused while other daemons refuse requests of the account. Tokens are therefore
 * prefetched only for steady demand; other requests ask the pool on arrival.
 */
class TokenStock(
    startedAtMs: Long,
) {
    private var tokens = 0
    private var expiresAtMs = 0L
    private var refusedUntilMs = 0L
    private var requests = 0
    private var demandPerMs = 0.0
    private var measuredAtMs = startedAtMs

    /** Takes one token; [TakeResult.ASK_POOL] means that the caller must request tokens from the pool first. */
    fun take(nowMs: Long): TakeResult {
        requests++
        if (nowMs >= expiresAtMs) tokens = 0
        return when {
            tokens > 0 -> TakeResult.TAKEN.also { tokens-- }
            nowMs < refusedUntilMs -> TakeResult.REFUSED
            else -> TakeResult.ASK_POOL
        }
    }

    /** Puts back the token of a request that was not run. */
    fun refund() {
        tokens++
    }

    /** Ends a report interval and returns the number of tokens to prefetch. */
    fun closeInterval(nowMs: Long): Int {
        // A stock is created by its first request; a shorter interval would count that request as steady demand.
        val latest = requests / (nowMs - measuredAtMs).toDouble().coerceAtLeast(PREFETCH_MS)
        demandPerMs += (latest - demandPerMs) * DEMAND_WEIGHT
        requests = 0
        measuredAtMs = nowMs
        if (nowMs >= expiresAtMs) tokens = 0
        if (nowMs < refusedUntilMs) return 0
        return (ceil(demandPerMs * PREFETCH_MS).toInt() - tokens).coerceAtLeast(0).takeIf { demandPerMs * PREFETCH_MS > MIN_DEMAND } ?: 0
    }

    /** Adds the tokens that the pool granted; without any, requests are refused until the pool may have some. */
    fun onGrant(grant: TokenGrant, nowMs: Long) {
        tokens += grant.tokens
        if (grant.tokens > 0) expiresAtMs = nowMs + TOKEN_TTL_MS
        if (grant.tokens == 0 && grant.retryAfterMs > 0) {
            refusedUntilMs = nowMs + grant.retryAfterMs.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        }
    }

    /** Returns the time after which a refused request may be within the limit again, in milliseconds. */
    fun retryAfterMs(nowMs: Long): Int = (refusedUntilMs - nowMs).toInt().coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    private companion object {
        /** Weight of the latest report interval in the moving average of the demand. */
        const val DEMAND_WEIGHT = 0.4

        /** Time whose expected demand is prefetched, in milliseconds; one report interval. */
        const val PREFETCH_MS = 500.0

        /** Minimum expected requests in [PREFETCH_MS] for a prefetch; with this demand only one token in fifty expires unused. */
        const val MIN_DEMAND = 2.0

        /** Time after which unused tokens expire, in milliseconds. */
        const val TOKEN_TTL_MS = 1_000L
        const val MIN_RETRY_AFTER_MS = 30
        const val MAX_RETRY_AFTER_MS = 500
    }
}
