package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** Tokens handed out for [account]; when none are, [waitMs] tells when there may be some. */
data class TokenGrant(
    val account: String,
    val tokens: Int,
    val waitMs: Int,
)

/**
 * Pool of the account limits at the fleet's steward.
 *
 * Load pattern: the callers of one account are few, sit on few daemons and move between them; fixed shares refuse there
 * while the shares of other daemons lie idle. The pool holds a part of each limit by the part of the fleet that asks it;
 * each daemon counts at one steward, so the pools of a fleet that is cut apart hold little more than the limit together.
 */
class TokenPool {
    private val heardAtMs = HashMap<String, Long>()
    private val buckets = HashMap<String, TokenBucket>()
    private var part = 0.0
    private var partSinceMs = 0L
    private var largeSinceMs: Long? = null

    /** Hands out up to [wanted] tokens by account to [daemon], one of [daemons] in the fleet. */
    fun ask(daemon: String, wanted: Map<AccountConfig, Int>, daemons: Int, nowMs: Long): List<TokenGrant> {
        heardAtMs[daemon] = nowMs
        heardAtMs.values.removeIf { nowMs - it > COUNTED_MS }
        val present = heardAtMs.size.toDouble() / daemons.coerceAtLeast(1)
        largeSinceMs = if (present < MAJORITY) null else largeSinceMs ?: nowMs
        val next = partOfLimit(present, settled = largeSinceMs?.let { nowMs - it >= SETTLED_MS } ?: false)
        if (next > part) partSinceMs = nowMs
        part = next
        return wanted.map { (account, tokens) -> grant(account, tokens, nowMs) }
    }

    /** Stops counting [daemon], which asks another steward from now on. */
    fun forget(daemon: String) {
        heardAtMs -= daemon
    }

    /** An account that was not asked for yet has saved since the pool's part is what it is now: no other pool held that part. */
    private fun grant(account: AccountConfig, tokens: Int, nowMs: Long): TokenGrant {
        val rate = account.ratePerSecond * part
        val burst = maxOf(account.burst * part, LEAST_BURST)
        val bucket = buckets.getOrPut(account.name) { TokenBucket(rate, burst, partSinceMs) }
        bucket.reshape(rate, burst, nowMs)
        val granted = bucket.take(tokens)
        return TokenGrant(account.name, granted, if (granted > 0) 0 else bucket.waitMs())
    }

    private companion object {
        /** Time for which a daemon counts after it was heard, in milliseconds: three reports. */
        const val COUNTED_MS = 1_500L

        /** Time as the large side after which no other pool counts its daemons and tokens granted there have lapsed, in milliseconds. */
        const val SETTLED_MS = 2_500L

        /** A pool can save up at least one request. */
        const val LEAST_BURST = 1.0
    }
}
