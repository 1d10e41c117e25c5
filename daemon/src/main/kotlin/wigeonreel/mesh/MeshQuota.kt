package wigeonreel.mesh

import io.netty.channel.EventLoopGroup
import wigeonreel.config.AccountConfig
import wigeonreel.daemon.Clock
import wigeonreel.kernel.Service
import wigeonreel.limit.TakeResult
import wigeonreel.limit.TokenGrant
import wigeonreel.limit.TokenPool
import wigeonreel.limit.TokenStock
import wigeonreel.limit.fleetSizeForLimits
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.peer.PeerClients
import wigeonreel.traffic.FleetView
import wigeonreel.wire.TokenGrants
import wigeonreel.wire.TokenRequest
import wigeonreel.wire.TokenWant
import java.util.concurrent.TimeUnit
import wigeonreel.wire.TokenGrant as WireGrant

/**
 * Account limits at one daemon: tokens come from the pool of the fleet's steward, ahead of need while demand is steady,
 * else when a request comes.
 */
class MeshQuota(
    private val loop: EventLoopGroup,
    private val selfId: String,
    private val state: MeshState,
    private val peers: PeerClients,
    private val clock: Clock,
    private val onUnreachable: (String) -> Unit,
) : Service {
    override val name = "quota"
    private val stocks = HashMap<String, TokenStock>()
    private val pool = TokenPool()
    private val avoidedUntilMs = HashMap<String, Long>()
    private var steward: Member? = null
    private var requests = 0L

    override fun start() {
        loop.scheduleAtFixedRate(::report, REPORT_MS, REPORT_MS, TimeUnit.MILLISECONDS)
    }

    /** Takes one request of [account]; [onDecision] gets whether it is within the limit, within a few milliseconds. */
    fun admit(account: AccountConfig, onDecision: (Boolean) -> Unit) {
        if (account.ratePerSecond <= 0.0) return onDecision(true)
        val stock = stockOf(account.name)
        when (stock.take(clock.nowMs())) {
            TakeResult.TAKEN -> onDecision(true)
            TakeResult.REFUSED -> onDecision(false)
            TakeResult.ASK_POOL -> ask(mapOf(account.name to 1)) { onDecision(stock.take(clock.nowMs()) == TakeResult.TAKEN) }
        }
    }

    /** Returns the token of a request that was not run. */
    fun giveBack(account: AccountConfig) {
        if (account.ratePerSecond > 0.0) stockOf(account.name).refund()
    }

    /** Time after which a request of [account] that was refused may be within the limit again, in milliseconds. */
    fun waitMs(account: AccountConfig): Int = stockOf(account.name).retryAfterMs(clock.nowMs())

    /** Answers another daemon that asks for tokens. */
    fun onRequest(request: TokenRequest): TokenGrants {
        val view = state.view ?: return TokenGrants.getDefaultInstance()
        if (request.leaves) {
            pool.forget(request.daemon)
            return TokenGrants.getDefaultInstance()
        }
        val accounts = view.configuration.accounts
        val wanted = request.wantsList.mapNotNull { want -> accounts[want.account]?.let { it to want.tokens } }.toMap()
        val grants = pool.take(request.daemon, wanted, fleetSizeForLimits(view.daemonCount, state.announcementsRead), clock.nowMs())
        return TokenGrants.newBuilder().addAllGrants(grants.map { it.toWire() }).build()
    }

    /** Asks ahead of need; the steward also counts the daemons by this. */
    private fun report() {
        val nowMs = clock.nowMs()
        ask(stocks.mapValues { it.value.closeInterval(nowMs) }.filterValues { it > 0 }) { }
    }

    private fun ask(wants: Map<String, Int>, onAnswer: () -> Unit) {
        val nowMs = clock.nowMs()
        val steward = state.view?.let { stewardOf(it, nowMs) } ?: return onAnswer()
        changeTo(steward)
        val entries =
            wants.map { (account, tokens) ->
                TokenWant
                    .newBuilder()
                    .setAccount(account)
                    .setTokens(tokens)
                    .build()
            }
        val request = newRequest().addAllWants(entries).build()
        if (steward.id == selfId) {
            take(onRequest(request))
            return onAnswer()
        }
        peers.takeTokens(steward.address, request, ANSWER_MS) { grants ->
            if (grants == null) avoid(steward.id) else take(grants)
            onAnswer()
        }
    }

    /** An earlier steward is told, so that this daemon's part of the limits does not count at two of them. */
    private fun changeTo(next: Member) {
        val earlier = steward
        steward = next
        if (earlier == null || earlier.id == next.id) return
        if (earlier.id == selfId) return pool.forget(selfId)
        peers.takeTokens(earlier.address, newRequest().setLeaves(true).build(), ANSWER_MS) { }
    }

    private fun newRequest() = TokenRequest.newBuilder().setDaemon(selfId).setAttemptId("tokens-${++requests}")

    private fun take(grants: TokenGrants) {
        val nowMs = clock.nowMs()
        grants.grantsList.forEach { stockOf(it.account).onGrant(TokenGrant(it.account, it.tokens, it.waitMs), nowMs) }
    }

    private fun avoid(id: String) {
        avoidedUntilMs[id] = clock.nowMs() + AVOID_MS
        onUnreachable(id)
    }

    /** The least id among the daemons that stay; one that leaves is its own steward only when it is alone. */
    private fun stewardOf(view: FleetView, nowMs: Long): Member? =
        view.membersSortedById.firstOrNull {
            if (it.id == selfId) !state.leaving else it.state == MemberState.ALIVE && (avoidedUntilMs[it.id] ?: 0) <= nowMs
        } ?: view.member(selfId)

    private fun stockOf(account: String) = stocks.getOrPut(account) { TokenStock(clock.nowMs()) }

    private fun TokenGrant.toWire() =
        WireGrant
            .newBuilder()
            .setAccount(account)
            .setTokens(tokens)
            .setWaitMs(waitMs)
            .build()

    private companion object {
        /** Time between reports; the pool counts a daemon for three of them. */
        const val REPORT_MS = 500L

        /** Longest wait for the steward: many round trips between regions, and less than callers notice. */
        const val ANSWER_MS = 150L

        /** Time for which a steward that did not answer is passed over, in milliseconds. */
        const val AVOID_MS = 2_000L
    }
}
