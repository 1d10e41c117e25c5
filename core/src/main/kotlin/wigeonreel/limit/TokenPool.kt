package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** Tokens granted for [account]; if there are none, [retryAfterMs] is the time until the next one is available, in milliseconds. */
data class TokenGrant(
    val account: String,
    val tokens: Int,
    val retryAfterMs: Int,
)

/**
 * Token buckets of all account limits, kept by the coordinator of the fleet.
 *
 * Load pattern: an account has few callers, which use few daemons at a time and switch between them. With a fixed share per
 * daemon, these daemons would refuse requests while the shares of the other daemons are unused. In a partitioned fleet
 * there may be several coordinators, so each pool grants a share of the limits that depends on the fraction of the fleet
 * that requests tokens from it. A daemon is counted by one coordinator only, so all pools together grant little more than the
 * limit.
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
    fun remove(daemon: String) {
        lastRequestAtMs -= daemon
    }

    /** Takes tokens of one account. A new bucket fills from [shareSinceMs], because no other pool granted this share afterwards. */
    private fun grant(account: AccountConfig, tokens: Int, nowMs: Long): TokenGrant {
        val rate = account.ratePerSecond * share
        val burst = maxOf(account.burst * share, MIN_BURST)
        val bucket = buckets.getOrPut(account.name) { TokenBucket(rate, burst, shareSinceMs) }
        bucket.reshape(rate, burst, nowMs)
        val granted = bucket.take(tokens)
        return TokenGrant(account.name, granted, if (granted > 0) 0 else bucket.waitMs())
    }

    private companion object {
        /** Time after its last request for which a daemon is counted, in milliseconds; three report intervals. */
        const val DAEMON_TTL_MS = 1_500L

        /** Time with a majority, in milliseconds, after which no other pool counts its daemons and tokens of other pools have expired. */
        const val SETTLED_MS = 2_500L

        /** Minimum burst, so that the smallest share still admits one request. */
        const val MIN_BURST = 1.0
    }
}
