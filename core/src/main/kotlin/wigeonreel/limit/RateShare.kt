package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** One daemon's part of one account's limit: its floor and the grant of the steward, as a token bucket. */
class RateShare(
    private var account: AccountConfig,
    private var daemons: Int,
    startedAtMs: Long,
) {
    private var grantedPerSecond = 0.0
    private var grantUntilMs = 0L
    private var asked = 0
    private var askedSinceMs = startedAtMs
    private val bucket = TokenBucket(ratePerSecond(startedAtMs), burst(startedAtMs), startedAtMs)

    /** Requests a second over the last report intervals, refused ones included. */
    private var demandPerSecond = 0.0

    /** Takes one token if there is one. */
    fun admit(account: AccountConfig, daemons: Int, nowMs: Long): Boolean {
        asked++
        if (account != this.account || daemons != this.daemons || grantLapsed(nowMs)) reshape(account, daemons, nowMs)
        bucket.refill(nowMs, 0.0)
        return bucket.take(1) == 1
    }

    /** Returns the token of a request that was not run. */
    fun giveBack() = bucket.putBack(1)

    /** Takes a grant that was asked for at [askedAtMs]. */
    fun grant(ratePerSecond: Double, askedAtMs: Long, nowMs: Long) {
        grantedPerSecond = ratePerSecond
        grantUntilMs = askedAtMs + GRANT_VALID_MS - GRANT_MARGIN_MS
        reshape(account, daemons, nowMs)
    }

    /** Closes a report interval; returns what to report. */
    fun measure(nowMs: Long): RateDemand {
        val elapsedMs = (nowMs - askedSinceMs).coerceAtLeast(1)
        val latest = asked * MS_PER_SECOND / elapsedMs
        demandPerSecond += (latest - demandPerSecond) * DEMAND_WEIGHT
        asked = 0
        askedSinceMs = nowMs
        return RateDemand(demandPerSecond, if (nowMs < grantUntilMs) grantedPerSecond else 0.0)
    }

    private fun grantLapsed(nowMs: Long) = grantedPerSecond > 0.0 && nowMs >= grantUntilMs

    private fun reshape(account: AccountConfig, daemons: Int, nowMs: Long) {
        if (grantLapsed(nowMs)) grantedPerSecond = 0.0
        this.account = account
        this.daemons = daemons
        bucket.reshape(ratePerSecond(nowMs), burst(nowMs), nowMs)
    }

    private fun ratePerSecond(nowMs: Long): Double {
        val granted = if (nowMs < grantUntilMs) grantedPerSecond else 0.0
        return account.ratePerSecond * FLOOR_SHARE / daemons + granted
    }

    /** The burst is divided like the rate. */
    private fun burst(nowMs: Long): Double =
        if (account.ratePerSecond <= 0.0) 0.0 else (account.burst * ratePerSecond(nowMs) / account.ratePerSecond).coerceAtLeast(LEAST_BURST)

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** Weight of the latest interval in the demand. */
        const val DEMAND_WEIGHT = 0.25

        /** Grants end this much earlier at the daemon than at the steward, for the time that the report takes, in milliseconds. */
        const val GRANT_MARGIN_MS = 100L

        /** A share is worth at least one request at once. */
        const val LEAST_BURST = 1.0
    }
}
