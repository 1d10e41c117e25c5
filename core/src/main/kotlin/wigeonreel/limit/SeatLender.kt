package wigeonreel.limit

import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration

/**
 * Lends tokens from all limit shares that one daemon holds.
 *
 * @param self id of this daemon, as stored in [Seat.holder].
 * @param incarnation incarnation of this daemon, as stored in [Seat.incarnation].
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

    private class HeldShare(
        val share: Double,
        val holder: ShareHolder,
    )

    private val shares = HashMap<ShareId, HeldShare>()
    private var provenAtMs = Long.MIN_VALUE
    private var stopped = false

    /** Number of shares that this daemon holds. */
    val size: Int get() = shares.size

    /** Applies the [configuration], which was current in the store at [provenAtMs]; drops shares that moved to other daemons. */
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

    /** Records that the configuration applied last was still current in the store at [provenAtMs]. */
    fun prove(provenAtMs: Long) {
        this.provenAtMs = maxOf(this.provenAtMs, provenAtMs)
    }

    /** Stops lending permanently; the seats may be released once [loansLapsedAtMs] has passed. */
    fun stopLending() {
        stopped = true
    }

    /** Returns the time by which all loans granted until [nowMs] have expired. */
    fun loansLapsedAtMs(nowMs: Long): Long = nowMs + policy.loanMs + policy.expiryMarginMs

    /** Lends from the shares of [account]; the loan has no tokens if this daemon may not lend or holds no share. */
    fun lend(account: String, request: LoanRequest, nowMs: Long): Loan {
        val accountShares = shares.filterKeys { it.account == account }.values
        for (report in request.reports) accountShares.forEach { it.holder.onReport(request.borrower, report) }
        if (!mayLend(nowMs) || accountShares.isEmpty()) return Loan(request.loanId, 0, NOT_HOLDER_RETRY_AFTER_MS)
        return lendFrom(accountShares, request, nowMs)
    }

    /** Requests the loan from each share of the account, keeps the largest one and refunds the others. */
    private fun lendFrom(held: Collection<HeldShare>, request: LoanRequest, nowMs: Long): Loan {
        val loans = held.map { it.holder.lend(request.borrower, request.loanId, request.tokens, nowMs) }
        val best = loans.maxBy { it.tokens }
        held.zip(loans).filter { (_, loan) -> loan !== best && loan.tokens > 0 }.forEach { (share, loan) ->
            share.holder.refund(request.borrower, loan)
        }
        return if (best.tokens > 0) best else loans.minBy { it.retryAfterMs }
    }

    private fun hold(id: ShareId, account: AccountConfig, share: Double, nowMs: Long) {
        val known = shares[id]
        if (known != null && known.share == share) return known.holder.reconfigure(account, nowMs)
        shares[id] = HeldShare(share, ShareHolder(account, share, policy.loanMs, policy.expiryMarginMs, nowMs + policy.settleMs))
    }

    private fun mayLend(nowMs: Long) = !stopped && nowMs - provenAtMs < policy.seatLeaseMs

    private fun Seat.isMine() = holder == self && incarnation == this@SeatLender.incarnation && orphanedAtMs == null

    private companion object {
        const val NOT_HOLDER_RETRY_AFTER_MS = 500
    }
}

/** Borrower's request for up to [tokens] tokens, with reports on its earlier loans. */
data class LoanRequest(
    val borrower: String,
    val loanId: Long,
    val tokens: Int,
    val reports: List<LoanReport>,
)
