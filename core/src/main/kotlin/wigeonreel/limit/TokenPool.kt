package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** Tokens granted for [account]; if there are none, [waitMs] is the time until the next one, in milliseconds. */
data class TokenGrant(
    val account: String,
    val tokens: Int,
    val waitMs: Int,
)

/**
 * Token buckets of all account limits, kept by the coordinator of the fleet.
 *
 * Load pattern: an account has few callers, which use few daemons and move between them. Fixed shares per daemon would
 * refuse requests there while the shares of other daemons are unused. A pool grants a share of each limit that depends on
 * the share of the fleet that requests from it. Each daemon counts at one coordinator only, so the pools of a partitioned
 * fleet together grant little more than the limit.
 */
class TokenPool {
    private val lastRequestAtMs = HashMap<String, Long>()
    private val buckets = HashMap<String, TokenBucket>()
    private var share = 0.0
    private var shareSinceMs = 0L
    private var majoritySinceMs: Long? = null

    /** Grants [daemon] up to the [requested] tokens of each account; [daemons] is the size of the fleet. */
    fun take(daemon: String, requested: Map<AccountConfig, Int>, daemons: Int, nowMs: Long): List<TokenGrant> {
        lastRequestAtMs[daemon] = nowMs
        lastRequestAtMs.values.removeIf { nowMs - it > DAEMON_TTL_MS }
        val present = lastRequestAtMs.size.toDouble() / daemons.coerceAtLeast(1)
        majoritySinceMs = if (present < MAJORITY) null else majoritySinceMs ?: nowMs
        val next = limitShare(present, settled = majoritySinceMs?.let { nowMs - it >= SETTLED_MS } ?: false)
        if (next > share) shareSinceMs = nowMs
        share = next
        return requested.map { (account, tokens) -> grant(account, tokens, nowMs) }
    }

    /** Stops counting [daemon], which uses another coordinator from now on. */
    fun forget(daemon: String) {
        lastRequestAtMs -= daemon
    }

    /** The bucket of a new account fills from the time when the pool got its present share: no other pool granted that share since. */
    private fun grant(account: AccountConfig, tokens: Int, nowMs: Long): TokenGrant {
        val rate = account.ratePerSecond * share
        val burst = maxOf(account.burst * share, MIN_BURST)
        val bucket = buckets.getOrPut(account.name) { TokenBucket(rate, burst, shareSinceMs) }
        bucket.reshape(rate, burst, nowMs)
        val granted = bucket.take(tokens)
        return TokenGrant(account.name, granted, if (granted > 0) 0 else bucket.waitMs())
    }

    private companion object {
        /** Time for which a daemon counts after its last request, in milliseconds; three report intervals. */
        const val DAEMON_TTL_MS = 1_500L

        /** Time with a majority after which no other pool counts its daemons and the tokens granted there have expired, in milliseconds. */
        const val SETTLED_MS = 2_500L

        /** Minimum burst, so that the smallest share still admits one request. */
        const val MIN_BURST = 1.0
    }
}
