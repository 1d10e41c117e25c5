package wigeonreel.mesh

import io.netty.channel.EventLoopGroup
import wigeonreel.config.AccountConfig
import wigeonreel.daemon.Clock
import wigeonreel.kernel.Service
import wigeonreel.limit.RateDemand
import wigeonreel.limit.RateGrant
import wigeonreel.limit.RateShare
import wigeonreel.limit.RateSteward
import wigeonreel.membership.Member
import wigeonreel.peer.PeerClients
import wigeonreel.traffic.FleetView
import wigeonreel.wire.AccountDemand
import wigeonreel.wire.DemandReport
import wigeonreel.wire.RateGrants
import java.util.concurrent.TimeUnit
import wigeonreel.wire.RateGrant as WireGrant

/** Account limits at one daemon: its floors, and what the fleet's steward grants above them by demand. */
class MeshQuota(
    private val loop: EventLoopGroup,
    private val selfId: String,
    private val state: MeshState,
    private val peers: PeerClients,
    private val clock: Clock,
    private val onUnreachable: (String) -> Unit,
) : Service {
    override val name = "quota"
    private val shares = HashMap<String, RateShare>()
    private val steward = RateSteward()

    override fun start() {
        loop.scheduleAtFixedRate(::report, REPORT_MS, REPORT_MS, TimeUnit.MILLISECONDS)
    }

    /** Takes one request of [account] if its share allows it. */
    fun admit(account: AccountConfig, nowMs: Long): Boolean {
        if (account.ratePerSecond <= 0.0) return true
        val daemons = daemonsOf(state.view)
        return shares.getOrPut(account.name) { RateShare(account, daemons, nowMs) }.admit(account, daemons, nowMs)
    }

    /** Returns the token of a request that was not run. */
    fun giveBack(account: AccountConfig) {
        shares[account.name]?.giveBack()
    }

    /** Answers another daemon's report; without most of the fleet in sight nothing is granted, since another steward may be. */
    fun onReport(report: DemandReport): RateGrants {
        val view = state.view
        if (view == null || !view.seesMost) return RateGrants.getDefaultInstance()
        val demands = report.demandsList.associate { it.account to RateDemand(it.perSecond, it.heldPerSecond) }
        val granted = steward.report(report.daemon, demands, view.configuration.accounts, view.knownDaemons, clock.nowMs())
        return RateGrants.newBuilder().addAllGrants(granted.map { it.toWire() }).build()
    }

    private fun report() {
        val nowMs = clock.nowMs()
        val view = state.view ?: return
        val demands = shares.mapValues { it.value.measure(nowMs) }.filterValues { it.perSecond > LEAST_DEMAND }
        val to = view.steward ?: return
        if (demands.isEmpty()) return
        val message = reportOf(demands)
        if (to.id == selfId) return take(onReport(message), nowMs)
        peers.call(to.address, ANSWER_MS, { it.share(message) }) { grants, _ ->
            if (grants == null) onUnreachable(to.id) else take(grants, nowMs)
        }
    }

    private fun reportOf(demands: Map<String, RateDemand>): DemandReport {
        val entries = demands.map { (account, demand) -> demand.toWire(account) }
        return DemandReport
            .newBuilder()
            .setDaemon(selfId)
            .addAllDemands(entries)
            .build()
    }

    private fun take(grants: RateGrants, askedAtMs: Long) =
        grants.grantsList.forEach { shares[it.account]?.grant(it.perSecond, askedAtMs, clock.nowMs()) }

    /** A daemon that knows nobody yet must not take the whole limit for its own. */
    private fun daemonsOf(view: FleetView?): Int = (view?.knownDaemons ?: 1).let { if (it > 1) it else ASSUMED_DAEMONS }

    private fun RateDemand.toWire(account: String) =
        AccountDemand
            .newBuilder()
            .setAccount(account)
            .setPerSecond(perSecond)
            .setHeldPerSecond(heldPerSecond)
            .build()

    private fun RateGrant.toWire() =
        WireGrant
            .newBuilder()
            .setAccount(account)
            .setPerSecond(ratePerSecond)
            .build()

    private val FleetView.steward: Member? get() = members.filter { it.live }.minByOrNull { it.id }

    private val FleetView.seesMost: Boolean get() = members.count { it.live } * 2 > knownDaemons

    private companion object {
        /** Time between reports; a grant outlives two lost ones. */
        const val REPORT_MS = 400L
        const val ANSWER_MS = 300L

        /** Demand below this needs no grant, in requests a second. */
        const val LEAST_DEMAND = 0.05

        /** Daemons assumed by one that knows no other. */
        const val ASSUMED_DAEMONS = 16
    }
}
