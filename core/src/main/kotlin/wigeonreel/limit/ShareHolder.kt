package wigeonreel.limit

import wigeonreel.config.AccountConfig

/** Tokens lent to a daemon. [tokens] 0 means none are available; [waitMs] says when to ask again. */
data class Loan(
    val loanId: Long,
    val tokens: Int,
    val waitMs: Int,
)

/** A borrower's word on an earlier loan: [spent] tokens of it were used, and it is [closed] when no more will be. */
data class LoanReport(
    val loanId: Long,
    val spent: Int,
    val closed: Boolean,
)

/**
 * Holder of a standing share of one client account's limit, which it lends to the daemons that see the demand.
 *
 * Tokens on loan count against the burst until they were spent or the loan has lapsed, so the account never
 * receives more than its rate and burst in any window.
 *
 * @param share this holder's part of the account's limit; the parts of all holders sum to at most 1.
 * @param loanMs time for which a borrower may use a loan, counted from its request, in milliseconds.
 * @param marginMs time added before the holder counts a loan as lapsed, in milliseconds.
 */
class ShareHolder(
    account: AccountConfig,
    private val share: Double,
    private val loanMs: Long,
    private val marginMs: Long,
    startedAtMs: Long,
) {
    private class Open(
        val tokens: Int,
        var spent: Int,
        val lapsesAtMs: Long,
    )

    private val bucket = TokenBucket(account.ratePerSecond * share, account.burst * share, startedAtMs)
    private val open = HashMap<LoanKey, Open>()
    private var config = account

    /** Tokens on loan that may still be used. */
    val lent: Int get() = open.values.sumOf { it.tokens - it.spent }

    /** Takes a changed limit into force. */
    fun reconfigure(account: AccountConfig, nowMs: Long) {
        if (account == config) return
        config = account
        bucket.reshape(account.ratePerSecond * share, account.burst * share, nowMs)
    }

    /** Lends up to [wanted] tokens to [borrower]; a doubled request gets nothing the second time. */
    fun lend(borrower: String, loanId: Long, wanted: Int, nowMs: Long): Loan {
        lapse(nowMs)
        bucket.refill(nowMs, lent.toDouble())
        val key = LoanKey(borrower, loanId)
        val taken = if (key in open) 0 else bucket.take(wanted.coerceIn(0, MAX_LOAN_TOKENS))
        if (taken > 0) open[key] = Open(taken, 0, nowMs + loanMs + marginMs)
        return Loan(loanId, taken, if (taken > 0) 0 else bucket.waitMs())
    }

    /** Takes a borrower's report; what was spent no longer counts as lent. */
    fun onReport(borrower: String, report: LoanReport) {
        val key = LoanKey(borrower, report.loanId)
        val loan = open[key] ?: return
        loan.spent = maxOf(loan.spent, report.spent.coerceAtMost(loan.tokens))
        if (report.closed || loan.spent == loan.tokens) open.remove(key)
    }

    /** Takes back a loan that was never handed out. */
    fun giveBack(borrower: String, loan: Loan) {
        if (open.remove(LoanKey(borrower, loan.loanId)) != null) bucket.putBack(loan.tokens)
    }

    private fun lapse(nowMs: Long) {
        open.values.removeIf { it.lapsesAtMs <= nowMs }
    }

    private data class LoanKey(
        val borrower: String,
        val loanId: Long,
    )

    private companion object {
        const val MAX_LOAN_TOKENS = 10_000
    }
}
