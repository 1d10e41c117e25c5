package wigeonreel.traffic

import io.netty.channel.EventLoopGroup
import wigeonreel.config.AccountConfig
import wigeonreel.daemon.Clock
import wigeonreel.kernel.Log
import wigeonreel.kernel.Service
import wigeonreel.limit.AccountLoans
import wigeonreel.limit.Holders
import wigeonreel.limit.LimitPolicy
import wigeonreel.limit.Loan
import wigeonreel.limit.LoanReport
import wigeonreel.limit.LoanRequest
import wigeonreel.limit.OutgoingLoanRequest
import wigeonreel.limit.Seat
import wigeonreel.limit.SeatLender
import wigeonreel.limit.seatsOf
import wigeonreel.once.HomeBinding
import wigeonreel.peer.PeerClients
import wigeonreel.place.Place
import wigeonreel.wire.BorrowReply
import wigeonreel.wire.BorrowRequest
import java.util.concurrent.TimeUnit
import wigeonreel.wire.LoanReport as WireReport

/** Account limits at one daemon: lends from its own shares and borrows for the requests that enter here. */
class LimitService(
    private val loop: EventLoopGroup,
    private val self: HomeBinding,
    private val place: Place,
    private val state: TrafficState,
    private val peers: PeerClients,
    private val clock: Clock,
) : Service {
    private class Waiting(
        val untilMs: Long,
        val onDecision: (Boolean) -> Unit,
    )

    private class Borrowing(
        val loans: AccountLoans,
        var holders: Holders,
        var version: Long,
    ) {
        val waiting = ArrayDeque<Waiting>()
    }

    override val name = "limits"
    private val log = Log("limit")
    private val policy = LimitPolicy()
    private val lender = SeatLender(self.home, self.incarnation, policy)
    private val byAccount = HashMap<String, Borrowing>()
    private var lentVersion = 0L

    /** Number of shares that this daemon holds. */
    val shares: Int get() = lender.size

    /** Takes the configuration in force, proven current at [provenAtMs]. */
    fun onView(view: FleetView, provenAtMs: Long) {
        if (view.configuration.version == lentVersion) return lender.prove(provenAtMs)
        lentVersion = view.configuration.version
        lender.onConfiguration(view.configuration, provenAtMs, clock.nowMs())
        byAccount.keys.retainAll(view.configuration.accounts.keys)
    }

    /** Spends one token of [account], at once or after a short wait for a loan; tells [onDecision] whether there was one. */
    fun admit(account: AccountConfig, onDecision: (Boolean) -> Unit) {
        val nowMs = clock.nowMs()
        val borrowing = borrowingOf(account)
        if (borrowing.waiting.isEmpty() && borrowing.loans.arrive(nowMs)) {
            borrowing.loans.prefetch(borrowing.holders, nowMs)?.let { send(account.name, borrowing, it) }
            return onDecision(true)
        }
        if (borrowing.waiting.size >= MAX_WAITING) return onDecision(false)
        borrowing.waiting.addLast(Waiting(nowMs + MAX_WAIT_MS, onDecision))
        proceed(account.name, borrowing)
    }

    /** Lends to another daemon. */
    fun lend(request: BorrowRequest): BorrowReply {
        val reports = request.reportsList.map { LoanReport(it.loanId, it.spent, it.closed) }
        val loan = lender.lend(request.account, LoanRequest(request.borrower, request.loanId, request.tokens, reports), clock.nowMs())
        log.decision { "lend ${loan.tokens} of ${request.account} to ${request.borrower} wait=${loan.waitMs}" }
        return BorrowReply
            .newBuilder()
            .setLoanId(loan.loanId)
            .setTokens(loan.tokens)
            .setWaitMs(loan.waitMs)
            .build()
    }

    /** Stops lending because this daemon leaves. */
    fun release() = lender.stopLending()

    private fun proceed(account: String, borrowing: Borrowing) {
        serveWaiting(borrowing)
        if (borrowing.waiting.isEmpty() || borrowing.loans.awaitingAnswer) return
        val nowMs = clock.nowMs()
        val ask = borrowing.loans.requestLoan(borrowing.holders, nowMs)
        if (ask != null) return send(account, borrowing, ask)
        val waitMs = borrowing.loans.waitMs(borrowing.holders, nowMs)
        if (borrowing.holders.all.isEmpty() || waitMs > MAX_WAIT_MS) return refuseWaiting(borrowing)
        loop.schedule({ retryWaiting(account, borrowing) }, waitMs.coerceAtLeast(1), TimeUnit.MILLISECONDS)
    }

    private fun retryWaiting(account: String, borrowing: Borrowing) {
        val nowMs = clock.nowMs()
        while (borrowing.waiting.firstOrNull()?.let { it.untilMs <= nowMs } == true) borrowing.waiting.removeFirst().onDecision(false)
        proceed(account, borrowing)
    }

    private fun serveWaiting(borrowing: Borrowing) {
        val nowMs = clock.nowMs()
        while (borrowing.waiting.isNotEmpty() && borrowing.loans.spendForWaiting(nowMs)) borrowing.waiting.removeFirst().onDecision(true)
    }

    private fun refuseWaiting(borrowing: Borrowing) {
        while (borrowing.waiting.isNotEmpty()) borrowing.waiting.removeFirst().onDecision(false)
    }

    private fun send(account: String, borrowing: Borrowing, ask: OutgoingLoanRequest) {
        if (ask.holder == self.home) return onLoan(account, borrowing, lender.lend(account, ask.request, clock.nowMs()))
        val address =
            state.view
                ?.member(ask.holder)
                ?.takeIf { it.live }
                ?.address
        if (address == null) return onLost(account, borrowing, ask.request.loanId)
        peers.call(address, BORROW_TIMEOUT_MS, { it.borrow(ask.toWire(account)) }) { reply, _ ->
            if (reply == null) onLost(account, borrowing, ask.request.loanId) else onLoan(account, borrowing, reply.toCore())
        }
    }

    private fun onLoan(account: String, borrowing: Borrowing, loan: Loan) {
        borrowing.loans.onLoan(loan, clock.nowMs())
        proceed(account, borrowing)
    }

    private fun onLost(account: String, borrowing: Borrowing, loanId: Long) {
        borrowing.loans.onLost(loanId, clock.nowMs())
        proceed(account, borrowing)
    }

    private fun borrowingOf(account: AccountConfig): Borrowing {
        val configuration = state.view!!.configuration
        val known =
            byAccount.getOrPut(account.name) {
                Borrowing(AccountLoans(borrowerId(), policy.loanMs, clock.nowMs()), Holders(emptyList(), emptyList()), 0)
            }
        if (known.version != configuration.version) {
            known.version = configuration.version
            known.holders = holdersByDistance(configuration.seatsOf(account).seats)
        }
        return known
    }

    /** Each daemon starts at another holder, so that the load spreads. */
    private fun holdersByDistance(seats: List<Seat>): Holders {
        val held = seats.filter { it.holder != null && it.orphanedAtMs == null }.sortedBy { "${it.holder}/${self.home}".hashCode() }
        val (near, far) = held.partition { it.region == place.region }
        return Holders(near.mapNotNull { it.holder }.distinct(), far.mapNotNull { it.holder }.distinct())
    }

    private fun borrowerId() = "${self.home}/${self.incarnation}"

    private fun OutgoingLoanRequest.toWire(account: String): BorrowRequest =
        BorrowRequest
            .newBuilder()
            .setAccount(account)
            .setBorrower(request.borrower)
            .setLoanId(request.loanId)
            .setTokens(request.tokens)
            .addAllReports(
                request.reports.map {
                    WireReport
                        .newBuilder()
                        .setLoanId(it.loanId)
                        .setSpent(it.spent)
                        .setClosed(it.closed)
                        .build()
                },
            ).build()

    private fun BorrowReply.toCore() = Loan(loanId, tokens, waitMs)

    private companion object {
        const val MAX_WAITING = 256
        const val MAX_WAIT_MS = 50L
        const val BORROW_TIMEOUT_MS = 200L
    }
}
