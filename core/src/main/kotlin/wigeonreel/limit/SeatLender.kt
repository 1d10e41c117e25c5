package wigeonreel.limit

import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration

/**
 * All shares that one daemon holds.
 *
 * @param self id of this daemon, as seats name it.
 * @param incarnation incarnation of this daemon, as seats name it.
 */
class SeatLender(
    private val self: String,
    private val incarnation: Long,
    private val policy: LimitPolicy,
) {
    private data class ShareId(
        val seat: String,
        val account: String,
    )

    private class Held(
        val share: Double,
        val holder: ShareHolder,
    )

    private val shares = HashMap<ShareId, Held>()
    private var provenAtMs = Long.MIN_VALUE
    private var releasing = false

    /** Number of shares held. */
    val size: Int get() = shares.size

    /** Takes the configuration that was the stored one at [provenAtMs]; shares that moved away are dropped. */
    fun onConfiguration(configuration: Configuration, provenAtMs: Long, nowMs: Long) {
        this.provenAtMs = provenAtMs
        val held = HashSet<ShareId>()
        for (account in configuration.accounts.values) {
            val seats = configuration.seatsOf(account)
            for (seat in seats.seats.filter { it.isMine() }) {
                held += ShareId(seat.name, account.name).also { hold(it, account, seats.share, nowMs) }
            }
        }
        shares.keys.retainAll(held)
    }

    /** Takes newer proof that the configuration last given is the stored one. */
    fun prove(provenAtMs: Long) {
        this.provenAtMs = maxOf(this.provenAtMs, provenAtMs)
    }

    /** Stops lending; the seats may be released once [loansOutAtMs] has passed. */
    fun release() {
        releasing = true
    }

    /** Returns the time at which the last loan made before [nowMs] has lapsed. */
    fun loansOutAtMs(nowMs: Long): Long = nowMs + policy.loanMs + policy.marginMs

    /** Lends from the shares of [account]; nothing when this daemon may not lend. */
    fun lend(account: String, request: LoanRequest, nowMs: Long): Loan {
        val ofAccount = shares.filterKeys { it.account == account }.values
        for (report in request.reports) ofAccount.forEach { it.holder.onReport(request.borrower, report) }
        if (!mayLend(nowMs) || ofAccount.isEmpty()) return Loan(request.loanId, 0, NOT_HOLDER_WAIT_MS)
        return lendFrom(ofAccount, request, nowMs)
    }

    /** A borrower's part of a loan may come from several seats of the same holder. */
    private fun lendFrom(held: Collection<Held>, request: LoanRequest, nowMs: Long): Loan {
        val loans = held.map { it.holder.lend(request.borrower, request.loanId, request.wanted, nowMs) }
        val best = loans.maxBy { it.tokens }
        held.zip(loans).filter { (_, loan) -> loan !== best && loan.tokens > 0 }.forEach { (share, loan) ->
            share.holder.giveBack(request.borrower, loan)
        }
        return if (best.tokens > 0) best else loans.minBy { it.waitMs }
    }

    private fun hold(id: ShareId, account: AccountConfig, share: Double, nowMs: Long) {
        val known = shares[id]
        if (known != null && known.share == share) return known.holder.reconfigure(account, nowMs)
        shares[id] = Held(share, ShareHolder(account, share, policy.loanMs, policy.marginMs, nowMs + policy.settleMs))
    }

    private fun mayLend(nowMs: Long) = !releasing && nowMs - provenAtMs < policy.tenureMs

    private fun Seat.isMine() = holder == self && incarnation == this@SeatLender.incarnation && orphanedAtMs == null

    private companion object {
        const val NOT_HOLDER_WAIT_MS = 500
    }
}

/** A borrower's request for tokens, with reports on its earlier loans. */
data class LoanRequest(
    val borrower: String,
    val loanId: Long,
    val wanted: Int,
    val reports: List<LoanReport>,
)
