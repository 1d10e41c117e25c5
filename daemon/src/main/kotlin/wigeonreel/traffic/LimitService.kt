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

/** Rate limits of client accounts: lends tokens from the shares of this daemon and borrows tokens for requests that enter here. */
class LimitService(
    private val loop: EventLoopGroup,
    private val self: HomeBinding,
    private val place: Place,
    private val state: TrafficState,
    private val peers: PeerClients,
    private val clock: Clock,
) : Service {
    private class WaitingRequest(
        val expiresAtMs: Long,
        val onDecision: (Boolean) -> Unit,
    )

    private class BorrowingState(
        val loans: AccountLoans,
        var holders: Holders,
        var configVersion: Long,
    ) {
        val waiting = ArrayDeque<WaitingRequest>()
    }

    override val name = "limits"
    private val log = Log("limit")
    private val policy = LimitPolicy()
    private val lender = SeatLender(self.home, self.incarnation, policy)
    private val byAccount = HashMap<String, BorrowingState>()
    private var lenderConfigVersion = 0L

    /** Number of account shares from which this daemon lends. */
    val shares: Int get() = lender.size

    /** Applies the configuration in [view], known to be current at [provenAtMs]. */
    fun onView(view: FleetView, provenAtMs: Long) {
        if (view.configuration.version == lenderConfigVersion) return lender.prove(provenAtMs)
        lenderConfigVersion = view.configuration.version
        lender.onConfiguration(view.configuration, provenAtMs, clock.nowMs())
        byAccount.keys.retainAll(view.configuration.accounts.keys)
    }

    /** Takes one token of [account], waiting up to [MAX_WAIT_MS] for a loan; passes to [onDecision] whether the request is admitted. */
    fun admit(account: AccountConfig, onDecision: (Boolean) -> Unit) {
        val nowMs = clock.nowMs()
        val borrowing = borrowingOf(account)
        if (borrowing.waiting.isEmpty() && borrowing.loans.arrive(nowMs)) {
            borrowing.loans.prefetch(borrowing.holders, nowMs)?.let { send(account.name, borrowing, it) }
            return onDecision(true)
        }
        if (borrowing.waiting.size >= MAX_WAITING) return onDecision(false)
        borrowing.waiting.addLast(WaitingRequest(nowMs + MAX_WAIT_MS, onDecision))
        serveOrBorrow(account.name, borrowing)
    }

    /** Lends tokens to another daemon; if there are none, the reply has 0 tokens and the time until a retry in milliseconds. */
    fun lend(request: BorrowRequest): BorrowReply {
        val reports = request.reportsList.map { LoanReport(it.loanId, it.spent, it.closed) }
        val loan = lender.lend(request.account, LoanRequest(request.borrower, request.loanId, request.tokens, reports), clock.nowMs())
        log.decision { "lend ${loan.tokens} of ${request.account} to ${request.borrower} wait=${loan.retryAfterMs}" }
        return BorrowReply
            .newBuilder()
            .setLoanId(loan.loanId)
            .setTokens(loan.tokens)
            .setWaitMs(loan.retryAfterMs)
            .build()
    }

    /** Stops lending; called when this daemon starts to drain. */
    fun release() = lender.stopLending()

    private fun serveOrBorrow(account: String, borrowing: BorrowingState) {
        serveWaiting(borrowing)
        if (borrowing.waiting.isEmpty() || borrowing.loans.awaitingAnswer) return
        val nowMs = clock.nowMs()
        val loanRequest = borrowing.loans.requestLoan(borrowing.holders, nowMs)
        if (loanRequest != null) return send(account, borrowing, loanRequest)
        val retryAfterMs = borrowing.loans.retryAfterMs(borrowing.holders, nowMs)
        if (borrowing.holders.all.isEmpty() || retryAfterMs > MAX_WAIT_MS) return refuseWaiting(borrowing)
        loop.schedule({ expireAndRetry(account, borrowing) }, retryAfterMs.coerceAtLeast(1), TimeUnit.MILLISECONDS)
    }

    private fun expireAndRetry(account: String, borrowing: BorrowingState) {
        val nowMs = clock.nowMs()
        while (borrowing.waiting.firstOrNull()?.let { it.expiresAtMs <= nowMs } == true) borrowing.waiting.removeFirst().onDecision(false)
        serveOrBorrow(account, borrowing)
    }

    private fun serveWaiting(borrowing: BorrowingState) {
        val nowMs = clock.nowMs()
        while (borrowing.waiting.isNotEmpty() && borrowing.loans.spendForQueued(nowMs)) borrowing.waiting.removeFirst().onDecision(true)
    }

    private fun refuseWaiting(borrowing: BorrowingState) {
        while (borrowing.waiting.isNotEmpty()) borrowing.waiting.removeFirst().onDecision(false)
    }

    private fun send(account: String, borrowing: BorrowingState, ask: OutgoingLoanRequest) {
        if (ask.holder == self.home) return onLoanReceived(account, borrowing, lender.lend(account, ask.request, clock.nowMs()))
        val address =
            state.view
                ?.member(ask.holder)
                ?.takeIf { it.live }
                ?.address
        if (address == null) return onLoanFailed(account, borrowing, ask.request.loanId)
        peers.call(address, BORROW_TIMEOUT_MS, { it.borrow(ask.toWire(account)) }) { reply, _ ->
            if (reply == null) onLoanFailed(account, borrowing, ask.request.loanId) else onLoanReceived(account, borrowing, reply.toCore())
        }
    }

    private fun onLoanReceived(account: String, borrowing: BorrowingState, loan: Loan) {
        borrowing.loans.onLoan(loan, clock.nowMs())
        serveOrBorrow(account, borrowing)
    }

    private fun onLoanFailed(account: String, borrowing: BorrowingState, loanId: Long) {
        borrowing.loans.onLost(loanId, clock.nowMs())
        serveOrBorrow(account, borrowing)
    }

    private fun borrowingOf(account: AccountConfig): BorrowingState {
        val configuration = state.view!!.configuration
        val known =
            byAccount.getOrPut(account.name) {
                BorrowingState(AccountLoans(borrowerId(), policy.loanMs, clock.nowMs()), Holders(emptyList(), emptyList()), 0)
            }
        if (known.configVersion != configuration.version) {
            known.configVersion = configuration.version
            known.holders = holdersByDistance(configuration.seatsOf(account).seats)
        }
        return known
    }

    /** Returns the lending daemons in an order that differs for each borrower, which spreads the requests over them. */
    private fun holdersByDistance(seats: List<Seat>): Holders {
        val lendingSeats = seats.filter { it.holder != null && it.orphanedAtMs == null }.sortedBy { "${it.holder}/${self.home}".hashCode() }
        val (near, far) = lendingSeats.partition { it.region == place.region }
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
