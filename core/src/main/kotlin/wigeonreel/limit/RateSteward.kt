package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** What a daemon reports of one account: requests a second, and the grant that it still holds. */
data class RateDemand(
    val perSecond: Double,
    val heldPerSecond: Double,
)

/** Rate that one daemon may use besides its floor, for [GRANT_VALID_MS] from its report. */
data class RateGrant(
    val account: String,
    val ratePerSecond: Double,
)

/** Time for which a grant is valid from the moment at which its daemon asked, in milliseconds. */
const val GRANT_VALID_MS: Long = 3_000

/** Part of an account's rate and burst that is divided evenly among all daemons and needs no grant. */
const val FLOOR_SHARE: Double = 0.2

/**
 * Divides the part of the account limits above the floors by demand.
 *
 * Load pattern: the callers of one account are few and sit on few daemons, and change them when daemons stop; equal
 * shares refuse there while the shares of other daemons lie idle. What is granted and not yet expired never exceeds the
 * part that is divided. A daemon that becomes steward only renews what daemons hold until the
 * grants of an earlier one have expired.
 */
class RateSteward {
    private class Claim(
        var demandPerSecond: Double,
        var grantedPerSecond: Double,
        var untilMs: Long,
    )

    private val claims = HashMap<String, HashMap<String, Claim>>()
    private var heardAtMs = Long.MIN_VALUE
    private var grantsFromMs = 0L

    /** Takes the [demands] of [daemon] by account and returns its grants. */
    fun report(
        daemon: String,
        demands: Map<String, RateDemand>,
        accounts: Map<String, AccountConfig>,
        daemons: Int,
        nowMs: Long,
    ): List<RateGrant> {
        if (heardAtMs == Long.MIN_VALUE || nowMs - heardAtMs > GRANT_VALID_MS) grantsFromMs = nowMs + GRANT_VALID_MS
        heardAtMs = nowMs
        return demands.mapNotNull { (name, demand) -> accounts[name]?.let { grant(daemon, it, demand, daemons, nowMs) } }
    }

    private fun grant(
        daemon: String,
        account: AccountConfig,
        demand: RateDemand,
        daemons: Int,
        nowMs: Long,
    ): RateGrant {
        val claimed = claims.getOrPut(account.name) { HashMap() }
        claimed.values.removeIf { it.untilMs <= nowMs }
        val floor = account.ratePerSecond * FLOOR_SHARE / daemons
        val divided = account.ratePerSecond * (1.0 - FLOOR_SHARE)
        val own = claimed.getOrPut(daemon) { Claim(0.0, 0.0, 0) }
        own.demandPerSecond = (demand.perSecond * HEADROOM - floor).coerceAtLeast(0.0)
        own.untilMs = nowMs + GRANT_VALID_MS
        val others = claimed.values.sumOf { it.grantedPerSecond } - own.grantedPerSecond
        val free = (divided - others).coerceAtLeast(0.0)
        val wanted = if (nowMs < grantsFromMs) demand.heldPerSecond else fairPart(claimed.values, own, divided)
        own.grantedPerSecond = minOf(wanted, free)
        return RateGrant(account.name, own.grantedPerSecond)
    }

    private fun fairPart(claimed: Collection<Claim>, own: Claim, divided: Double): Double {
        val total = claimed.sumOf { it.demandPerSecond }
        return if (total <= 0.0) divided / claimed.size else divided * own.demandPerSecond / total
    }

    private companion object {
        /** Demand is granted with this margin, since it varies from second to second. */
        const val HEADROOM = 1.3
    }
}
