package wigeonreel.limit

/** Daemons that hold the shares of one account: [near] ones in the daemon's own region, and [far] ones in other regions. */
data class Holders(
    val near: List<String>,
    val far: List<String>,
) {
    /** All holders, near ones first. */
    val all: List<String> get() = near + far
}

/** Loan request to be sent to [holder]. */
data class OutgoingLoanRequest(
    val holder: String,
    val request: LoanRequest,
)

/**
 * Borrows tokens of one account for one daemon and spends them.
 *
 * A holder without tokens returns a time before which it gets no further loan request. A caller's request of an account over
 * its limit is therefore refused without delay.
 */
class AccountLoans(
    private val borrower: String,
    loanMs: Long,
    firstLoanId: Long,
) {
    private val book = LoanBook(loanMs, firstLoanId)
    private val retryAtMs = HashMap<String, Long>()
    private val pending = HashMap<Long, String>()

    /** Whether a loan request is outstanding. */
    val awaitingAnswer: Boolean get() = pending.isNotEmpty()

    /** Counts an arrival and spends a token for it. Returns false if no token is available. */
    fun arrive(nowMs: Long): Boolean {
        book.onArrival(nowMs)
        return book.trySpend(nowMs)
    }

    /** Spends a token for a queued request, whose arrival was already counted. Returns false if no token is available. */
    fun spendForQueued(nowMs: Long): Boolean = book.trySpend(nowMs)

    /** Returns a loan request to send ahead of need because few tokens are left, or null. */
    fun prefetch(holders: Holders, nowMs: Long): OutgoingLoanRequest? = if (book.runsLow(nowMs)) requestLoan(holders, nowMs) else null

    /**
     * Returns a loan request to one of [holders] that may have tokens, near ones first, or null.
     *
     * The result is null if a request is outstanding or no holder may be sent another one yet. The holder with the most
     * unreported spent tokens goes first, since the request also carries the report, which frees its share.
     */
    fun requestLoan(holders: Holders, nowMs: Long): OutgoingLoanRequest? {
        if (awaitingAnswer) return null
        val holder = choose(holders.near, nowMs) ?: choose(holders.far, nowMs) ?: return null
        val loan = book.requestLoan(nowMs)
        pending[loan.loanId] = holder
        return OutgoingLoanRequest(holder, LoanRequest(borrower, loan.loanId, loan.tokens, book.reports(holder, nowMs)))
    }

    /** Adds the tokens of a holder's answer, or records the time of the next request to that holder. */
    fun onLoan(loan: Loan, nowMs: Long) {
        val holder = pending.remove(loan.loanId) ?: return
        if (!book.onLoan(loan, holder, nowMs)) {
            retryAtMs[holder] = nowMs + loan.retryAfterMs.coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
        }
    }

    /** Ends the loan request [loanId], which got no answer. */
    fun onLost(loanId: Long, nowMs: Long) {
        val holder = pending.remove(loanId) ?: return
        book.onLost(loanId)
        retryAtMs[holder] = nowMs + NO_ANSWER_RETRY_AFTER_MS
    }

    /** Returns the time until one of [holders] may have tokens again, in milliseconds. */
    fun retryAfterMs(holders: Holders, nowMs: Long): Long =
        holders.all.minOfOrNull { ((retryAtMs[it] ?: 0) - nowMs).coerceAtLeast(0) } ?: NO_ANSWER_RETRY_AFTER_MS

    private fun choose(holders: List<String>, nowMs: Long): String? =
        holders.filter { (retryAtMs[it] ?: 0) <= nowMs }.maxByOrNull { book.unreported(it) }

    private companion object {
        const val MIN_RETRY_AFTER_MS = 5
        const val MAX_RETRY_AFTER_MS = 1_000
        const val NO_ANSWER_RETRY_AFTER_MS = 300L
    }
}
