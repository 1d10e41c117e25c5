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
 * Enforces account rate limits at one daemon with tokens from the pool of the fleet's coordinator.
 *
 * Tokens of an account are prefetched while its demand is steady; otherwise they are requested when a caller's request arrives.
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
    private var coordinator: Member? = null
    private var requests = 0L

    override fun start() {
        loop.scheduleAtFixedRate(::reportDemand, REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    /**
     * Takes one token of [account]; [onDecision] receives whether the request is within the limit.
     *
     * The decision takes a few milliseconds, or [REPLY_TIMEOUT_MS] if the coordinator does not reply.
     */
    fun admit(account: AccountConfig, onDecision: (Boolean) -> Unit) {
        if (account.ratePerSecond <= 0.0) return onDecision(true)
        val stock = stockOf(account.name)
        when (stock.take(clock.nowMs())) {
            TakeResult.TAKEN -> onDecision(true)
            TakeResult.REFUSED -> onDecision(false)
            TakeResult.ASK_POOL -> requestTokens(mapOf(account.name to 1)) { onDecision(stock.take(clock.nowMs()) == TakeResult.TAKEN) }
        }
    }

    /** Returns the token of a request that was not run. */
    fun refund(account: AccountConfig) {
        if (account.ratePerSecond > 0.0) stockOf(account.name).refund()
    }

    /** Returns the time after which a refused request of [account] may be within the limit again, in milliseconds. */
    fun retryAfterMs(account: AccountConfig): Int = stockOf(account.name).retryAfterMs(clock.nowMs())

    /** Grants tokens to a daemon that requests them; if the daemon leaves this pool, it is removed and gets none. */
    fun onRequest(request: TokenRequest): TokenGrants {
        val view = state.view ?: return TokenGrants.getDefaultInstance()
        if (request.leaves) {
            pool.remove(request.daemon)
            return TokenGrants.getDefaultInstance()
        }
        val accounts = view.configuration.accounts
        val requested = request.wantsList.mapNotNull { want -> accounts[want.account]?.let { it to want.tokens } }.toMap()
        val grants = pool.take(request.daemon, requested, fleetSizeForLimits(view.daemonCount, state.announcementsRead), clock.nowMs())
        return TokenGrants.newBuilder().addAllGrants(grants.map { it.toWire() }).build()
    }

    /** Prefetches tokens; the token request is sent even without demand, since the coordinator counts the daemons that send one. */
    private fun reportDemand() {
        val nowMs = clock.nowMs()
        requestTokens(stocks.mapValues { it.value.closeInterval(nowMs) }.filterValues { it > 0 }) { }
    }

    private fun requestTokens(wants: Map<String, Int>, onAnswer: () -> Unit) {
        val nowMs = clock.nowMs()
        val coordinator = state.view?.let { coordinatorOf(it, nowMs) } ?: return onAnswer()
        switchTo(coordinator)
        val entries =
            wants.map { (account, tokens) ->
                TokenWant
                    .newBuilder()
                    .setAccount(account)
                    .setTokens(tokens)
                    .build()
            }
        val request = newRequest().addAllWants(entries).build()
        if (coordinator.id == selfId) {
            addGrants(onRequest(request))
            return onAnswer()
        }
        peers.requestTokens(coordinator.address, request, REPLY_TIMEOUT_MS) { grants ->
            if (grants == null) avoid(coordinator.id) else addGrants(grants)
            onAnswer()
        }
    }

    /** Notifies the previous coordinator, so that this daemon is not counted in two pools. */
    private fun switchTo(next: Member) {
        val previous = coordinator
        coordinator = next
        if (previous == null || previous.id == next.id) return
        if (previous.id == selfId) return pool.remove(selfId)
        peers.requestTokens(previous.address, newRequest().setLeaves(true).build(), REPLY_TIMEOUT_MS) { }
    }

    private fun newRequest() = TokenRequest.newBuilder().setDaemon(selfId).setAttemptId("tokens-${++requests}")

    private fun addGrants(grants: TokenGrants) {
        val nowMs = clock.nowMs()
        grants.grantsList.forEach { stockOf(it.account).onGrant(TokenGrant(it.account, it.tokens, it.waitMs), nowMs) }
    }

    private fun avoid(id: String) {
        avoidedUntilMs[id] = clock.nowMs() + AVOID_MS
        onUnreachable(id)
    }

    /** Returns the reachable daemon with the lowest id that is not leaving, or this daemon if there is none. */
    private fun coordinatorOf(view: FleetView, nowMs: Long): Member? =
        view.membersSortedById.firstOrNull {
            if (it.id == selfId) !state.leaving else it.state == MemberState.ALIVE && (avoidedUntilMs[it.id] ?: 0) <= nowMs
        } ?: view.member(selfId)

    private fun stockOf(account: String) = stocks.getOrPut(account) { TokenStock(clock.nowMs()) }

    private fun TokenGrant.toWire() =
        WireGrant
            .newBuilder()
            .setAccount(account)
            .setTokens(tokens)
            .setWaitMs(retryAfterMs)
            .build()

    private companion object {
        /** Interval between demand reports; the pool counts a daemon until it has missed three of them. */
        const val REPORT_INTERVAL_MS = 500L

        /** Timeout for the coordinator's reply; many round trips between regions, but too short for callers to notice. */
        const val REPLY_TIMEOUT_MS = 150L

        /** Time during which a daemon that did not reply is not used as coordinator. */
        const val AVOID_MS = 2_000L
    }
}
