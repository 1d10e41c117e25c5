package wigeonreel.mesh

import wigeonreel.config.AccountConfig
import wigeonreel.limit.TokenBucket

/** Account limits at one daemon: each daemon grants an equal part of every account's rate and burst. */
class MeshQuota(
    private val state: MeshState,
    startedAtMs: Long,
) {
    private class Share(
        val bucket: TokenBucket,
        var account: AccountConfig,
        var daemons: Int,
    )

    private val startedAtMs = startedAtMs
    private val shares = HashMap<String, Share>()

    /** Takes one request of [account] if its share allows it. */
    fun admit(account: AccountConfig, nowMs: Long): Boolean {
        if (account.ratePerSecond <= 0.0) return true
        val share = shareOf(account, nowMs)
        share.bucket.refill(nowMs, 0.0)
        return share.bucket.take(1) == 1
    }

    /** Returns the token of a request that was not run. */
    fun giveBack(account: AccountConfig) {
        shares[account.name]?.bucket?.putBack(1)
    }

    private fun shareOf(account: AccountConfig, nowMs: Long): Share {
        val daemons = state.view?.knownDaemons ?: 1
        val share =
            shares.getOrPut(account.name) {
                Share(TokenBucket(account.ratePerSecond / daemons, burst(account, daemons), startedAtMs), account, daemons)
            }
        if (share.account != account || share.daemons != daemons) {
            share.bucket.reshape(account.ratePerSecond / daemons, burst(account, daemons), nowMs)
            share.account = account
            share.daemons = daemons
        }
        return share
    }

    private fun burst(account: AccountConfig, daemons: Int) = (account.burst / daemons).coerceAtLeast(LEAST_BURST)

    private companion object {
        /** A share is worth at least this many requests at once. */
        const val LEAST_BURST = 2.0
    }
}
