package wigeonreel.soak

import arrow.core.getOrElse
import wigeonreel.config.ConfigEdit
import wigeonreel.config.Configuration
import wigeonreel.limit.AccountLoans
import wigeonreel.limit.Holders
import wigeonreel.limit.LimitPolicy
import wigeonreel.limit.OutgoingLoanRequest
import wigeonreel.limit.SeatLender
import wigeonreel.limit.seatsOf
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.PeerAddress
import wigeonreel.place.Place
import wigeonreel.steward.RegionCoordinatorPolicy
import wigeonreel.steward.planHomesAndSeats

/** Mechanisms of the account limits that a run can leave out, to show that the checks notice. */
enum class LimitSabotage { NONE, NO_TENURE, LOANS_FROM_RECEIPT }

/** Faults of a run: none, single daemons cut from the store, or all kinds together. */
enum class LimitFaults { NONE, ISOLATION, ALL }

/**
 * Attacks the account limits: restarts, pauses, cuts, store outages, clock errors, lost and doubled messages, stewards
 * that race, callers that hoard.
 *
 * Check: over all daemons together the account never receives more than its rate and burst in any window. Measure:
 * refusals although the fleet-wide bucket had a token.
 */
class LimitSoak(
    seed: Long,
    private val sabotage: LimitSabotage = LimitSabotage.NONE,
    private val faults: LimitFaults = LimitFaults.ALL,
) {
    private inner class Node(
        val number: Int,
    ) : FakeProcess(queue, CLOCK_ERROR_MS) {
        val id = "d$number"
        val region = "r${number % REGIONS}"
        var isolatedUntilMs = 0L
        var known = Configuration.EMPTY
        lateinit var lender: SeatLender
        lateinit var loans: AccountLoans

        fun start() {
            incarnation++
            known = Configuration.EMPTY
            lender = SeatLender(id, incarnation, policy)
            loans = AccountLoans("$id/$incarnation", loanMs(), clockMs())
            readStore()
        }

        fun readStore() {
            if (!storeUp || isolatedUntilMs > queue.nowMs) return
            val startedMs = clockMs()
            val live = incarnation
            val read = stored
            queue.after(queue.random.nextLong(STORE_MS)) { awake { if (live == incarnation) take(read, startedMs) } }
        }

        private fun take(read: Configuration, startedMs: Long) {
            if (read.version < known.version) return
            val provenAtMs = if (sabotage == LimitSabotage.NO_TENURE) Long.MAX_VALUE / 2 else startedMs
            if (read.version > known.version) lender.onConfiguration(read, provenAtMs, clockMs()) else lender.prove(provenAtMs)
            known = read
        }

        fun toMember() = Member(id, incarnation, 0, state(), PeerAddress(id, 1), Place(region, "f"), null)

        /** A paused or isolated daemon looks dead to the steward; an isolated one goes on serving those that it can reach. */
        private fun state() = if (maxOf(pausedUntilMs, isolatedUntilMs) > queue.nowMs) MemberState.DEAD else MemberState.ALIVE
    }

    private val queue = EventQueue(seed)
    private val policy = LimitPolicy(seatLeaseMs = TENURE_MS, maxClockSkewMs = CLOCK_MARGIN_MS)
    private val coordinatorPolicy = RegionCoordinatorPolicy(seatLeaseMs = TENURE_MS, maxClockSkewMs = CLOCK_MARGIN_MS)
    private val network =
        FakeNetwork(queue, loss = lossOf(faults), doubling = lossOf(faults)).also { it.faulty = faults == LimitFaults.ALL }
    private var storeUp = true
    private var stored = firstConfiguration()
    private val nodes = List(NODES) { Node(it) }
    private var level = BURST
    private var levelAtMs = queue.nowMs
    private var demandPerTick = 1
    private var hoarding = false

    /** Requests let in. */
    var admitted = 0L
        private set

    /** Requests refused. */
    var refused = 0L
        private set

    /** Requests refused although the fleet-wide bucket had a token. */
    var wrongful = 0L
        private set

    /** Runs for [virtualMs] of virtual time; throws [InvariantViolation]. */
    fun run(virtualMs: Long) {
        nodes.forEach { it.start() }
        queue.repeatedly(COORDINATOR_INTERVAL_MS) { coordinate() }
        nodes.forEach { node -> queue.repeatedly(REFRESH_MS) { node.awake { node.readStore() } } }
        queue.run(SETTLE_MS)
        queue.repeatedly(TICK_MS) { demand() }
        queue.repeatedly(SHIFT_MS) { demandPerTick = if (queue.chance(SURGE_SHARE)) SURGE_PER_TICK else 1 }
        startFaults()
        queue.run(virtualMs)
    }

    private fun startFaults() {
        if (faults == LimitFaults.NONE) return
        queue.repeatedly(ISOLATION_MS) { isolate(nodes.random(queue.random)) }
        queue.repeatedly(HOARD_MS) { hoard() }
        if (faults == LimitFaults.ISOLATION) return
        queue.repeatedly(RESTART_MS) { nodes.random(queue.random).start() }
        queue.repeatedly(PAUSE_MS) {
            nodes.random(queue.random).let {
                it.pausedUntilMs =
                    queue.nowMs + queue.random.nextLong(PAUSE_LENGTH_MS)
            }
        }
        queue.repeatedly(OUTAGE_MS) { storeUp = !storeUp }
        queue.repeatedly(CUT_MS) { cutRegions() }
    }

    private fun isolate(node: Node) {
        node.isolatedUntilMs = queue.nowMs + queue.random.nextLong(ISOLATION_LENGTH_MS)
    }

    /** All daemons borrow for a while without spending, then spend all that they hold at once. */
    private fun hoard() {
        hoarding = true
        repeat(HOARD_ROUNDS) { round ->
            nodes.forEach { node ->
                queue.after(round * HOARD_ROUND_MS) {
                    node.awake { node.loans.requestLoan(holders(node), node.clockMs())?.let { send(node, it, waiting = false) } }
                }
            }
        }
        queue.after(HOARD_ROUNDS * HOARD_ROUND_MS) {
            hoarding = false
            nodes.filter { it.pausedUntilMs <= queue.nowMs }.forEach { node ->
                while (node.loans.spendForQueued(node.clockMs())) admit(node)
            }
        }
    }

    private fun cutRegions() {
        val (left, right) = nodes.partition { it.region == "r0" }.let { (a, b) -> a.map { it.number } to b.map { it.number } }
        network.setCut(left, right, true)
        queue.after(queue.random.nextLong(CUT_LENGTH_MS)) { network.setCut(left, right, false) }
    }

    /** Any daemon may think that it is the steward; two that race write by compare-and-set. */
    private fun coordinate() {
        val writer = nodes.random(queue.random)
        if (!storeUp || writer.pausedUntilMs > queue.nowMs) return
        val seen = stored
        val members = nodes.map { it.toMember() }
        queue.after(queue.random.nextLong(STORE_MS)) {
            if (stored.version ==
                seen.version
            ) {
                write(seen, planHomesAndSeats(writer.toMember(), members, seen, coordinatorPolicy, writer.clockMs()))
            }
        }
    }

    private fun write(seen: Configuration, edits: List<ConfigEdit>) {
        if (edits.isNotEmpty()) stored = seen.plan(edits).getOrElse { error(it.message) }
    }

    private fun demand() {
        if (hoarding) return
        repeat(queue.random.nextInt(demandPerTick * 2) + 1) {
            val node = nodes.random(queue.random)
            node.awake { arrive(node) }
        }
    }

    private fun arrive(node: Node) {
        val nowMs = node.clockMs()
        if (node.loans.arrive(nowMs)) {
            admit(node)
            node.loans.prefetch(holders(node), nowMs)?.let { send(node, it, waiting = false) }
            return
        }
        val ask = node.loans.requestLoan(holders(node), nowMs)
        if (ask != null) return send(node, ask, waiting = true)
        refuse()
    }

    private fun send(node: Node, ask: OutgoingLoanRequest, waiting: Boolean) {
        val holder = nodes.first { it.id == ask.holder }
        val live = node.incarnation
        var answered = false
        network.send(node.number, holder.number) {
            holder.awake {
                val loan = holder.lender.lend(ACCOUNT, ask.request, holder.clockMs())
                network.send(holder.number, node.number) {
                    node.awake {
                        if (node.incarnation == live) {
                            node.loans.onLoan(loan, node.clockMs())
                            if (waiting && !answered) answered = settle(node, mayAskAgain = true)
                        }
                    }
                }
            }
        }
        queue.after(ASK_TIMEOUT_MS) {
            if (node.incarnation == live) {
                node.loans.onLost(ask.request.loanId, node.clockMs())
                if (waiting && !answered) answered = settle(node, mayAskAgain = false)
            }
        }
    }

    private fun settle(node: Node, mayAskAgain: Boolean): Boolean {
        val nowMs = node.clockMs()
        if (node.loans.spendForQueued(nowMs)) {
            admit(node)
            return true
        }
        val ask = if (mayAskAgain) node.loans.requestLoan(holders(node), nowMs) else null
        if (ask != null) send(node, ask, waiting = true) else refuse()
        return true
    }

    private fun admit(node: Node) {
        refill()
        level -= 1.0
        admitted++
        queue.require(
            "rate-and-burst",
            level >= -EPSILON,
        ) { "the account received ${-level} more than its rate and burst, last at ${node.id}" }
    }

    private fun refuse() {
        refill()
        refused++
        if (level >= 1.0) wrongful++
    }

    private fun refill() {
        level = (level + (queue.nowMs - levelAtMs) * RATE / MS_PER_SECOND).coerceAtMost(BURST)
        levelAtMs = queue.nowMs
    }

    private fun holders(node: Node): Holders {
        val account = node.known.accounts[ACCOUNT] ?: return Holders(emptyList(), emptyList())
        val seats =
            node.known
                .seatsOf(account)
                .seats
                .filter { it.holder != null && it.orphanedAtMs == null }
        val (near, far) = seats.partition { it.region == node.region }
        return Holders(near.mapNotNull { it.holder }.distinct(), far.mapNotNull { it.holder }.distinct())
    }

    private fun loanMs() = if (sabotage == LimitSabotage.LOANS_FROM_RECEIPT) policy.loanMs * HOARD_FACTOR else policy.loanMs

    private fun firstConfiguration(): Configuration {
        val account = """{"name":"$ACCOUNT","ratePerSecond":$RATE,"burst":$BURST}"""
        return Configuration.EMPTY.plan(listOf(ConfigEdit("account/$ACCOUNT", account))).getOrElse { error(it.message) }
    }

    private companion object {
        fun lossOf(faults: LimitFaults) = if (faults == LimitFaults.ALL) LOSS else 0.0

        const val ACCOUNT = "harbour"
        const val RATE = 200.0
        const val BURST = 64.0
        const val MS_PER_SECOND = 1_000.0
        const val EPSILON = 1e-6
        const val NODES = 8
        const val REGIONS = 2
        const val LOSS = 0.05
        const val CLOCK_ERROR_MS = 200L
        const val CLOCK_MARGIN_MS = 500L
        const val TENURE_MS = 6_000L
        const val COORDINATOR_INTERVAL_MS = 500L
        const val REFRESH_MS = 1_000L
        const val SETTLE_MS = 15_000L
        const val TICK_MS = 10L
        const val SHIFT_MS = 3_000L
        const val SURGE_SHARE = 0.4
        const val SURGE_PER_TICK = 12
        const val RESTART_MS = 8_000L
        const val PAUSE_MS = 6_000L
        const val PAUSE_LENGTH_MS = 10_000L
        const val OUTAGE_MS = 15_000L
        const val CUT_MS = 10_000L
        const val CUT_LENGTH_MS = 8_000L
        const val STORE_MS = 300L
        const val ASK_TIMEOUT_MS = 200L
        const val HOARD_FACTOR = 4L
        const val HOARD_MS = 3_000L
        const val HOARD_ROUNDS = 60
        const val HOARD_ROUND_MS = 15L
        const val ISOLATION_MS = 10_000L
        const val ISOLATION_LENGTH_MS = 20_000L
    }
}
