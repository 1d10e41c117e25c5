package wigeonreel.limit

/** Id and number of tokens of a loan to be requested from a holder. */
data class RequestedLoan(
    val loanId: Long,
    val tokens: Int,
)

/**
 * Tokens of one client account that a daemon has borrowed.
 *
 * Each loan runs from its request, measured on this daemon's own clock.
 *
 * @param loanMs time for which a loan may be used, in milliseconds.
 */
class LoanBook(
    private val loanMs: Long,
    firstLoanId: Long,
) {
    private class HeldLoan(
        val loanId: Long,
        val holder: String,
        val tokens: Int,
        var spent: Int,
        val expiresAtMs: Long,
    ) {
        var reported = 0
    }

    private val loans = ArrayDeque<HeldLoan>()
    private val requestedAtMs = HashMap<Long, Long>()
    private var nextLoanId = firstLoanId
    private var arrivals = 0.0
    private var arrivalsAtMs = 0L

    /** Whether a loan request is outstanding. */
    val awaitingAnswer: Boolean get() = requestedAtMs.isNotEmpty()

    /** Counts an arrival. The decayed count of recent arrivals determines how many tokens a loan requests. */
    fun onArrival(nowMs: Long) {
        val elapsedMs = (nowMs - arrivalsAtMs).coerceAtLeast(0)
        arrivals = arrivals * Math.pow(HALF, elapsedMs / ARRIVAL_HALF_LIFE_MS) + 1.0
        arrivalsAtMs = nowMs
    }

    /** Spends a token of the oldest usable loan. Returns false if no token is available. */
    fun trySpend(nowMs: Long): Boolean {
        val loan = loans.firstOrNull { it.expiresAtMs > nowMs && it.spent < it.tokens } ?: return false
        loan.spent++
        return true
    }

    /** Returns whether fewer than half the tokens of the next loan are left, so that it should be requested ahead of need. */
    fun runsLow(nowMs: Long): Boolean = !awaitingAnswer && usableTokens(nowMs) * 2 < loanTokens()

    /** Starts a loan request and returns its id and size. */
    fun requestLoan(nowMs: Long): RequestedLoan {
        val loanId = nextLoanId++
        requestedAtMs[loanId] = nowMs
        return RequestedLoan(loanId, loanTokens())
    }

    /** Adds the tokens of a holder's answer. Returns false if it has none or the loan has already expired. */
    fun onLoan(loan: Loan, holder: String, nowMs: Long): Boolean {
        val startedAtMs = requestedAtMs.remove(loan.loanId) ?: return false
        if (loan.tokens == 0 || startedAtMs + loanMs <= nowMs) return false
        loans.addLast(HeldLoan(loan.loanId, holder, loan.tokens, 0, startedAtMs + loanMs))
        return true
    }

    /** Ends a loan request without an answer; an answer that arrives later is ignored. */
    fun onLost(loanId: Long) {
        requestedAtMs.remove(loanId)
    }

    /** Returns the number of tokens of [holder] that were spent since the last report to it. */
    fun unreported(holder: String): Int = loans.sumOf { if (it.holder == holder) it.spent - it.reported else 0 }

    /** Returns the reports for [holder] and removes its loans that are used up or expired. */
    fun reports(holder: String, nowMs: Long): List<LoanReport> {
        val reports = loans.filter { it.holder == holder }.map { LoanReport(it.loanId, it.spent, it.isClosed(nowMs)) }
        loans.forEach { if (it.holder == holder) it.reported = it.spent }
        loans.removeIf { it.holder == holder && it.isClosed(nowMs) }
        return reports
    }

    private fun usableTokens(nowMs: Long) = loans.sumOf { if (it.expiresAtMs > nowMs) it.tokens - it.spent else 0 }

    private fun loanTokens() = (arrivals * LOAN_DEMAND_FACTOR).toInt().coerceIn(1, MAX_LOAN_TOKENS)

    private fun HeldLoan.isClosed(nowMs: Long) = expiresAtMs <= nowMs || spent == tokens

    private companion object {
        const val HALF = 0.5
        const val ARRIVAL_HALF_LIFE_MS = 100.0
        const val LOAN_DEMAND_FACTOR = 1.0
        const val MAX_LOAN_TOKENS = 1_000
    }
}
