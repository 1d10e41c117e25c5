package wigeonreel.limit

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import wigeonreel.config.AccountConfig
import wigeonreel.config.ConfigEdit
import wigeonreel.config.Configuration

class LimitTest {
    private val account = AccountConfig("a", ratePerSecond = 100.0, burst = 20.0)
    private val holder = ShareHolder(account, share = 1.0, loanMs = 300, expiryMarginMs = 50, startedAtMs = 0)

    @Test
    fun `a new share starts empty and fills at its rate`() {
        expectThat(holder.lend("b", 1, 10, 0).tokens).isEqualTo(0)
        expectThat(holder.lend("b", 2, 10, 50).tokens).isEqualTo(5)
    }

    @Test
    fun `lent tokens count against the burst until they are reported as spent or the loan expires`() {
        expectThat(holder.lend("b", 1, 100, 1_000).tokens).isEqualTo(20)
        expectThat(holder.lend("b", 2, 100, 1_300).tokens).isEqualTo(0)
        holder.onReport("b", LoanReport(1, spent = 5, closed = false))
        expectThat(holder.lend("b", 3, 100, 1_340).tokens).isEqualTo(4)
        expectThat(holder.lent).isEqualTo(19)
    }

    @Test
    fun `a duplicate loan request gets no tokens`() {
        holder.lend("b", 1, 5, 1_000)
        expectThat(holder.lend("b", 1, 5, 1_000).tokens).isEqualTo(0)
    }

    @Test
    fun `a loan expires on the borrower's clock, counted from its request`() {
        val book = LoanBook(loanMs = 300, firstLoanId = 1)
        val requested = book.requestLoan(1_000)
        expectThat(book.onLoan(Loan(requested.loanId, 5, 0), "h", 1_290)).isTrue()
        expectThat(book.trySpend(1_299)).isTrue()
        expectThat(book.trySpend(1_300)).isFalse()
        val late = book.requestLoan(2_000)
        expectThat(book.onLoan(Loan(late.loanId, 5, 0), "h", 2_300)).isFalse()
    }

    private class Case(
        val burst: Double,
        val regions: Int,
        val seats: Int,
    )

    @TestFactory
    fun `seats are so few that each share admits whole requests, and the shares sum to at most the limit`() =
        listOf(Case(1.0, 2, 1), Case(8.0, 2, 2), Case(20.0, 2, 5), Case(1_000.0, 2, 8), Case(1_000.0, 1, 4)).map { case ->
            DynamicTest.dynamicTest("burst ${case.burst} in ${case.regions} regions") {
                val seats = configuration(case.regions).seatsOf(account.copy(burst = case.burst))
                expectThat(seats.seats.toSet().size).isEqualTo(case.seats)
                expectThat(seats.share * seats.seats.size).isLessThanOrEqualTo(1.0)
            }
        }

    @Test
    fun `a holder whose seat lease expired or whose seat is orphaned does not lend`() {
        val policy = LimitPolicy(seatLeaseMs = 1_000, settleMs = 0)
        val lender = SeatLender("d0", 1, policy)
        lender.onConfiguration(configuration(1), 0, 0)
        expectThat(lender.lend("a", LoanRequest("b", 1, 1, emptyList()), 999).tokens).isEqualTo(1)
        expectThat(lender.lend("a", LoanRequest("b", 2, 1, emptyList()), 1_000).tokens).isEqualTo(0)
        lender.onConfiguration(configuration(1, orphanedAtMs = 5), 2_000, 2_000)
        expectThat(lender.size).isEqualTo(0)
    }

    private fun configuration(regions: Int, orphanedAtMs: Long? = null): Configuration {
        val seats =
            (0 until regions).flatMap { region ->
                (0 until SEATS_PER_REGION).map { number ->
                    val orphaned = orphanedAtMs?.let { ""","orphanedAtMs":$it""" }.orEmpty()
                    ConfigEdit("seat/r$region-$number", """{"region":"r$region","number":$number,"holder":"d0","incarnation":1$orphaned}""")
                }
            }
        val entry = ConfigEdit("account/a", """{"name":"a","ratePerSecond":100,"burst":20}""")
        return Configuration.EMPTY.plan(seats + entry).getOrNull()!!
    }
}
