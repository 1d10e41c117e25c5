package wigeonreel.limit

/** Holders of an account's shares: those in the daemon's own region, and the others. */
data class Holders(
    val near: List<String>,
    val far: List<String>,
) {
    /** All holders, near ones first. */
    val all: List<String> get() = near + far
}

/** Loan request to be sent to [holder]. */
data class LoanAsk(
    val holder: String,
    val request: LoanRequest,
)

/**
 * One daemon's borrowing for one account: which holder is asked next, and what is at hand.
 *
 * A holder that had nothing is not asked again before the time that it named, so a request of an account that is over
 * its limit is refused at once.
 */
class AccountLoans(
    private val borrower: String,
    loanMs: Long,
    firstLoanId: Long,
) {
    private val book = LoanBook(loanMs, firstLoanId)
    private val askAgainAtMs = HashMap<String, Long>()
    private val pending = HashMap<Long, String>()

    /** Whether an answer is awaited. */
    val asking: Boolean get() = pending.isNotEmpty()

    /** Counts an arrival and spends a token if one is at hand. */
    fun arrive(nowMs: Long): Boolean {
        book.onArrival(nowMs)
        return book.trySpend(nowMs)
    }

    /** Spends a token for a request that waited. */
    fun spendForWaiting(nowMs: Long): Boolean = book.trySpend(nowMs)

    /** Returns a request to send now because the tokens at hand run low, or null. */
    fun askAhead(holders: Holders, nowMs: Long): LoanAsk? = if (book.runsLow(nowMs)) ask(holders, nowMs) else null

    /**
     * Returns a request to one of [holders] that may have tokens, near ones first, or null when none may.
     *
     * The holder that has the most to learn about spent tokens goes first, since reports free its share.
     */
    fun ask(holders: Holders, nowMs: Long): LoanAsk? {
        if (asking) return null
        val holder = choose(holders.near, nowMs) ?: choose(holders.far, nowMs) ?: return null
        val loan = book.ask(nowMs)
        pending[loan.loanId] = holder
        return LoanAsk(holder, LoanRequest(borrower, loan.loanId, loan.wanted, book.reports(holder, nowMs)))
    }

    /** Takes a holder's answer. */
    fun onLoan(loan: Loan, nowMs: Long) {
        val holder = pending.remove(loan.loanId) ?: return
        if (!book.onLoan(loan, holder, nowMs)) askAgainAtMs[holder] = nowMs + loan.waitMs.coerceIn(MIN_WAIT_MS, MAX_WAIT_MS)
    }

    /** Notes that the holder asked under [loanId] did not answer. */
    fun onLost(loanId: Long, nowMs: Long) {
        val holder = pending.remove(loanId) ?: return
        book.onLost(loanId)
        askAgainAtMs[holder] = nowMs + LOST_WAIT_MS
    }

    /** Returns the time until a holder may have tokens again, in milliseconds. */
    fun waitMs(holders: Holders, nowMs: Long): Long =
        holders.all.minOfOrNull { ((askAgainAtMs[it] ?: 0) - nowMs).coerceAtLeast(0) } ?: LOST_WAIT_MS

    private fun choose(holders: List<String>, nowMs: Long): String? =
        holders.filter { (askAgainAtMs[it] ?: 0) <= nowMs }.maxByOrNull { book.unreported(it) }

    private companion object {
        const val MIN_WAIT_MS = 5
        const val MAX_WAIT_MS = 1_000
        const val LOST_WAIT_MS = 300L
    }
}
