package wigeonreel.limit

/** Loan to be asked of a holder: [wanted] tokens under [loanId]. */
data class LoanWish(
    val loanId: Long,
    val wanted: Int,
)

/**
 * Tokens of one client account that a daemon has borrowed.
 *
 * Each loan runs from the moment at which it was asked for, on this daemon's own clock.
 *
 * @param loanMs time for which a loan may be used, in milliseconds.
 */
class LoanBook(
    private val loanMs: Long,
    firstLoanId: Long,
) {
    private class Held(
        val loanId: Long,
        val holder: String,
        val tokens: Int,
        var spent: Int,
        val endsAtMs: Long,
    ) {
        var reported = 0
    }

    private val held = ArrayDeque<Held>()
    private val asked = HashMap<Long, Long>()
    private var nextLoanId = firstLoanId
    private var arrivals = 0.0
    private var arrivalsAtMs = 0L

    /** Whether an answer from a holder is awaited. */
    val asking: Boolean get() = asked.isNotEmpty()

    /** Notes an arrival, which sets how much is borrowed ahead of need. */
    fun onArrival(nowMs: Long) {
        val elapsedMs = (nowMs - arrivalsAtMs).coerceAtLeast(0)
        arrivals = arrivals * Math.pow(HALF, elapsedMs / ARRIVAL_HALF_LIFE_MS) + 1.0
        arrivalsAtMs = nowMs
    }

    /** Spends a token, oldest loan first; returns whether there was one. */
    fun trySpend(nowMs: Long): Boolean {
        val loan = held.firstOrNull { it.endsAtMs > nowMs && it.spent < it.tokens } ?: return false
        loan.spent++
        return true
    }

    /** Returns whether the tokens at hand run low, so that a loan should be asked for ahead of need. */
    fun runsLow(nowMs: Long): Boolean = !asking && usable(nowMs) * 2 < wanted()

    /** Starts a loan request; returns its id and size. */
    fun ask(nowMs: Long): LoanWish {
        val loanId = nextLoanId++
        asked[loanId] = nowMs
        return LoanWish(loanId, wanted())
    }

    /** Takes a holder's answer; returns whether the tokens can be used. */
    fun onLoan(loan: Loan, holder: String, nowMs: Long): Boolean {
        val askedAtMs = asked.remove(loan.loanId) ?: return false
        if (loan.tokens == 0 || askedAtMs + loanMs <= nowMs) return false
        held.addLast(Held(loan.loanId, holder, loan.tokens, 0, askedAtMs + loanMs))
        return true
    }

    /** Gives up the wait for an answer; a later answer under this id is ignored. */
    fun onLost(loanId: Long) {
        asked.remove(loanId)
    }

    /** Returns the tokens of loans by [holder] that were spent since its last report. */
    fun unreported(holder: String): Int = held.sumOf { if (it.holder == holder) it.spent - it.reported else 0 }

    /** Returns the reports for [holder] and forgets loans that are used up or over. */
    fun reports(holder: String, nowMs: Long): List<LoanReport> {
        val reports = held.filter { it.holder == holder }.map { LoanReport(it.loanId, it.spent, it.over(nowMs)) }
        held.forEach { if (it.holder == holder) it.reported = it.spent }
        held.removeIf { it.holder == holder && it.over(nowMs) }
        return reports
    }

    private fun usable(nowMs: Long) = held.sumOf { if (it.endsAtMs > nowMs) it.tokens - it.spent else 0 }

    private fun wanted() = (arrivals * LOAN_DEMAND_FACTOR).toInt().coerceIn(1, MAX_WANTED)

    private fun Held.over(nowMs: Long) = endsAtMs <= nowMs || spent == tokens

    private companion object {
        const val HALF = 0.5
        const val ARRIVAL_HALF_LIFE_MS = 100.0
        const val LOAN_DEMAND_FACTOR = 1.0
        const val MAX_WANTED = 1_000
    }
}
