package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** Answer to a loan request; if [tokens] is 0, [retryAfterMs] is the time after which the holder may have tokens, in milliseconds. */
data class Loan(
    val loanId: Long,
    val tokens: Int,
    val retryAfterMs: Int,
)

/** Borrower's report on a loan: number of tokens [spent] so far; [closed] if it will spend no more. */
data class LoanReport(
    val loanId: Long,
    val spent: Int,
    val closed: Boolean,
)

/**
 * Holds a fixed share of one client account's limit and lends it to the daemons that receive the account's requests.
 *
 * Tokens on loan count against the burst until they are reported as spent or the loan has expired, so the account never
 * gets more than its rate and burst in any window.
 *
 * @param share this holder's share of the account's limit; the shares of all holders sum to at most 1.
 * @param loanMs time for which a borrower may use a loan, counted from its request, in milliseconds.
 * @param expiryMarginMs time after [loanMs] at which the holder counts a loan as expired, in milliseconds.
 */
class ShareHolder(
    account: AccountConfig,
    private val share: Double,
    private val loanMs: Long,
    private val expiryMarginMs: Long,
    startedAtMs: Long,
) {
    private class OpenLoan(
        val tokens: Int,
        var spent: Int,
        val expiresAtMs: Long,
    )

    private val bucket = TokenBucket(account.ratePerSecond * share, account.burst * share, startedAtMs)
    private val openLoans = HashMap<LoanKey, OpenLoan>()
    private var config = account

    /** Number of tokens on loan that are not reported as spent. */
    val lent: Int get() = openLoans.values.sumOf { it.tokens - it.spent }

    /** Applies a changed rate and burst of [account]. */
    fun reconfigure(account: AccountConfig, nowMs: Long) {
        if (account == config) return
        config = account
        bucket.reshape(account.ratePerSecond * share, account.burst * share, nowMs)
    }

    /** Lends up to [tokens] tokens to [borrower]; a duplicate of a request whose loan is still open gets none. */
    fun lend(borrower: String, loanId: Long, tokens: Int, nowMs: Long): Loan {
        removeExpired(nowMs)
        bucket.refill(nowMs, lent.toDouble())
        val key = LoanKey(borrower, loanId)
        val taken = if (key in openLoans) 0 else bucket.take(tokens.coerceIn(0, MAX_LOAN_TOKENS))
        if (taken > 0) openLoans[key] = OpenLoan(taken, 0, nowMs + loanMs + expiryMarginMs)
        return Loan(loanId, taken, if (taken > 0) 0 else bucket.waitMs())
    }

    /** Applies a borrower's report; tokens reported as spent no longer count as lent. */
    fun onReport(borrower: String, report: LoanReport) {
        val key = LoanKey(borrower, report.loanId)
        val loan = openLoans[key] ?: return
        loan.spent = maxOf(loan.spent, report.spent.coerceAtMost(loan.tokens))
        if (report.closed || loan.spent == loan.tokens) openLoans.remove(key)
    }

    /** Returns the tokens of a loan that was not sent to the borrower. */
    fun refund(borrower: String, loan: Loan) {
        if (openLoans.remove(LoanKey(borrower, loan.loanId)) != null) bucket.putBack(loan.tokens)
    }

    private fun removeExpired(nowMs: Long) {
        openLoans.values.removeIf { it.expiresAtMs <= nowMs }
    }

    private data class LoanKey(
        val borrower: String,
        val loanId: Long,
    )

    private companion object {
        const val MAX_LOAN_TOKENS = 10_000
    }
}
