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

/**
 * Mechanism of the account limits that a run disables, to verify that the checks detect its absence.
 *
 * [NO_LEASE_EXPIRY] lets holders lend without a time limit after their last read of the store. [LOANS_OVERRUN] makes
 * borrowers use loans for four times the agreed loan time.
 */
enum class LimitDefect { NONE, NO_LEASE_EXPIRY, LOANS_OVERRUN }

/**
 * Faults of a run.
 *
 * [ISOLATION] cuts single daemons off from the store and makes daemons accumulate loans and spend them at once; [ALL]
 * adds all other faults.
 */
enum class LimitFaults { NONE, ISOLATION, ALL }

/**
 * Tests the account limits under restarts, pauses, network partitions, store outages, clock errors, lost and duplicated
 * messages, concurrent region coordinators, and daemons that accumulate loans and spend them at once.
 *
 * Checks that in any window all daemons together admit no more for the account than its rate and burst. Counts the
 * requests refused although a fleet-wide token bucket still had a token.
 */
class LimitSoak(
    seed: Long,
    private val defect: LimitDefect = LimitDefect.NONE,
    private val faults: LimitFaults = LimitFaults.ALL,
) {
    private inner class Node(
        val number: Int,
    ) : FakeProcess(queue, MAX_CLOCK_ERROR_MS) {
        val id = "d$number"
        val region = "r${number % REGIONS}"
        var isolatedUntilMs = 0L
        var configuration = Configuration.EMPTY
        lateinit var lender: SeatLender
        lateinit var loans: AccountLoans

        fun start() {
            incarnation++
            configuration = Configuration.EMPTY
            lender = SeatLender(id, incarnation, policy)
            loans = AccountLoans("$id/$incarnation", loanMs(), clockMs())
            readStore()
        }

        fun readStore() {
            if (!storeUp || isolatedUntilMs > queue.nowMs) return
            val startedMs = clockMs()
            val expectedIncarnation = incarnation
            val snapshot = stored
            queue.after(queue.random.nextLong(MAX_STORE_DELAY_MS)) {
                whenResumed { if (expectedIncarnation == incarnation) applySnapshot(snapshot, startedMs) }
            }
        }

        private fun applySnapshot(snapshot: Configuration, startedMs: Long) {
            if (snapshot.version < configuration.version) return
            val provenAtMs = if (defect == LimitDefect.NO_LEASE_EXPIRY) Long.MAX_VALUE / 2 else startedMs
            if (snapshot.version > configuration.version) {
                lender.onConfiguration(snapshot, provenAtMs, clockMs())
            } else {
                lender.prove(provenAtMs)
            }
            configuration = snapshot
        }

        fun toMember() = Member(id, incarnation, 0, state(), PeerAddress(id, 1), Place(region, "f"), null)

        /** State seen by the region coordinator: dead if paused or isolated; an isolated daemon still serves reachable peers. */
        private fun state() = if (maxOf(pausedUntilMs, isolatedUntilMs) > queue.nowMs) MemberState.DEAD else MemberState.ALIVE
    }

    private val queue = EventQueue(seed)
    private val policy = LimitPolicy(seatLeaseMs = SEAT_LEASE_MS, maxClockSkewMs = ALLOWED_CLOCK_SKEW_MS)
    private val coordinatorPolicy = RegionCoordinatorPolicy(seatLeaseMs = SEAT_LEASE_MS, maxClockSkewMs = ALLOWED_CLOCK_SKEW_MS)
    private val network =
        FakeNetwork(queue, loss = lossOf(faults), duplication = lossOf(faults)).also { it.faulty = faults == LimitFaults.ALL }
    private var storeUp = true
    private var stored = firstConfiguration()
    private val nodes = List(NODES) { Node(it) }
    private var bucketLevel = BURST
    private var bucketLevelAtMs = queue.nowMs
    private var demandPerTick = 1
    private var accumulating = false

    /** Number of admitted requests. */
    var admitted = 0L
        private set

    /** Number of refused requests. */
    var refused = 0L
        private set

    /** Number of requests refused although the fleet-wide token bucket still had a token. */
    var wrongfulRefusals = 0L
        private set

    /** Runs for [virtualMs] of virtual time after a warm-up of 15 s; throws [InvariantViolation] at the first failed check. */
    fun run(virtualMs: Long) {
        nodes.forEach { it.start() }
        queue.repeatedly(COORDINATOR_INTERVAL_MS) { runCoordinator() }
        nodes.forEach { node -> queue.repeatedly(STORE_READ_INTERVAL_MS) { node.whenResumed { node.readStore() } } }
        queue.run(WARM_UP_MS)
        queue.repeatedly(DEMAND_TICK_MS) { generateDemand() }
        queue.repeatedly(DEMAND_CHANGE_INTERVAL_MS) { demandPerTick = if (queue.chance(SURGE_PROBABILITY)) SURGE_PER_TICK else 1 }
        startFaults()
        queue.run(virtualMs)
    }

    private fun startFaults() {
        if (faults == LimitFaults.NONE) return
        queue.repeatedly(ISOLATION_INTERVAL_MS) { isolate(nodes.random(queue.random)) }
        queue.repeatedly(ACCUMULATION_INTERVAL_MS) { accumulateLoans() }
        if (faults == LimitFaults.ISOLATION) return
        queue.repeatedly(RESTART_INTERVAL_MS) { nodes.random(queue.random).start() }
        queue.repeatedly(PAUSE_INTERVAL_MS) {
            nodes.random(queue.random).let {
                it.pausedUntilMs =
                    queue.nowMs + queue.random.nextLong(MAX_PAUSE_MS)
            }
        }
        queue.repeatedly(OUTAGE_TOGGLE_INTERVAL_MS) { storeUp = !storeUp }
        queue.repeatedly(PARTITION_INTERVAL_MS) { partitionRegions() }
    }

    private fun isolate(node: Node) {
        node.isolatedUntilMs = queue.nowMs + queue.random.nextLong(MAX_ISOLATION_MS)
    }

    /** Makes all daemons borrow for 900 ms without spending, then spend all borrowed tokens at once. */
    private fun accumulateLoans() {
        accumulating = true
        repeat(ACCUMULATION_ROUNDS) { round ->
            nodes.forEach { node ->
                queue.after(round * ACCUMULATION_ROUND_MS) {
                    node.whenResumed { node.loans.requestLoan(holders(node), node.clockMs())?.let { send(node, it, waiting = false) } }
                }
            }
        }
        queue.after(ACCUMULATION_ROUNDS * ACCUMULATION_ROUND_MS) {
            accumulating = false
            nodes.filter { it.pausedUntilMs <= queue.nowMs }.forEach { node ->
                while (node.loans.spendForQueued(node.clockMs())) admit(node)
            }
        }
    }

    private fun partitionRegions() {
        val (groupA, groupB) = nodes.partition { it.region == "r0" }.let { (a, b) -> a.map { it.number } to b.map { it.number } }
        network.setPartitioned(groupA, groupB, true)
        queue.after(queue.random.nextLong(MAX_PARTITION_MS)) { network.setPartitioned(groupA, groupB, false) }
    }

    /** Runs the region coordinator on a random daemon, since several may act at once; they store edits by compare-and-set. */
    private fun runCoordinator() {
        val writer = nodes.random(queue.random)
        if (!storeUp || writer.pausedUntilMs > queue.nowMs) return
        val expected = stored
        val members = nodes.map { it.toMember() }
        queue.after(queue.random.nextLong(MAX_STORE_DELAY_MS)) {
            if (stored.version ==
                expected.version
            ) {
                storeEdits(expected, planHomesAndSeats(writer.toMember(), members, expected, coordinatorPolicy, writer.clockMs()))
            }
        }
    }

    private fun storeEdits(expected: Configuration, edits: List<ConfigEdit>) {
        if (edits.isNotEmpty()) stored = expected.plan(edits).getOrElse { error(it.message) }
    }

    private fun generateDemand() {
        if (accumulating) return
        repeat(queue.random.nextInt(demandPerTick * 2) + 1) {
            val node = nodes.random(queue.random)
            node.whenResumed { onArrival(node) }
        }
    }

    private fun onArrival(node: Node) {
        val nowMs = node.clockMs()
        if (node.loans.arrive(nowMs)) {
            admit(node)
            node.loans.prefetch(holders(node), nowMs)?.let { send(node, it, waiting = false) }
            return
        }
        val outgoing = node.loans.requestLoan(holders(node), nowMs)
        if (outgoing != null) return send(node, outgoing, waiting = true)
        countRefusal()
    }

    private fun send(node: Node, outgoing: OutgoingLoanRequest, waiting: Boolean) {
        val holder = nodes.first { it.id == outgoing.holder }
        val expectedIncarnation = node.incarnation
        var decided = false
        network.send(node.number, holder.number) {
            holder.whenResumed {
                val loan = holder.lender.lend(ACCOUNT, outgoing.request, holder.clockMs())
                network.send(holder.number, node.number) {
                    node.whenResumed {
                        if (node.incarnation == expectedIncarnation) {
                            node.loans.onLoan(loan, node.clockMs())
                            if (waiting && !decided) decided = decideWaitingRequest(node, mayBorrowAgain = true)
                        }
                    }
                }
            }
        }
        queue.after(LOAN_TIMEOUT_MS) {
            if (node.incarnation == expectedIncarnation) {
                node.loans.onLost(outgoing.request.loanId, node.clockMs())
                if (waiting && !decided) decided = decideWaitingRequest(node, mayBorrowAgain = false)
            }
        }
    }

    private fun decideWaitingRequest(node: Node, mayBorrowAgain: Boolean): Boolean {
        val nowMs = node.clockMs()
        if (node.loans.spendForQueued(nowMs)) {
            admit(node)
            return true
        }
        val outgoing = if (mayBorrowAgain) node.loans.requestLoan(holders(node), nowMs) else null
        if (outgoing != null) send(node, outgoing, waiting = true) else countRefusal()
        return true
    }

    private fun admit(node: Node) {
        refill()
        bucketLevel -= 1.0
        admitted++
        queue.require(
            "rate-and-burst",
            bucketLevel >= -ROUNDING_TOLERANCE,
        ) { "the account exceeded its rate and burst by ${-bucketLevel} requests, last at ${node.id}" }
    }

    private fun countRefusal() {
        refill()
        refused++
        if (bucketLevel >= 1.0) wrongfulRefusals++
    }

    private fun refill() {
        bucketLevel = (bucketLevel + (queue.nowMs - bucketLevelAtMs) * RATE / MS_PER_SECOND).coerceAtMost(BURST)
        bucketLevelAtMs = queue.nowMs
    }

    private fun holders(node: Node): Holders {
        val account = node.configuration.accounts[ACCOUNT] ?: return Holders(emptyList(), emptyList())
        val seats =
            node.configuration
                .seatsOf(account)
                .seats
                .filter { it.holder != null && it.orphanedAtMs == null }
        val (near, far) = seats.partition { it.region == node.region }
        return Holders(near.mapNotNull { it.holder }.distinct(), far.mapNotNull { it.holder }.distinct())
    }

    private fun loanMs() = if (defect == LimitDefect.LOANS_OVERRUN) policy.loanMs * OVERRUN_FACTOR else policy.loanMs

    private fun firstConfiguration(): Configuration {
        val account = """{"name":"$ACCOUNT","ratePerSecond":$RATE,"burst":$BURST}"""
        return Configuration.EMPTY.plan(listOf(ConfigEdit("account/$ACCOUNT", account))).getOrElse { error(it.message) }
    }

    private companion object {
        fun lossOf(faults: LimitFaults) = if (faults == LimitFaults.ALL) MESSAGE_FAULT_PROBABILITY else 0.0

        const val ACCOUNT = "harbour"
        const val RATE = 200.0
        const val BURST = 64.0
        const val MS_PER_SECOND = 1_000.0
        const val ROUNDING_TOLERANCE = 1e-6
        const val NODES = 8
        const val REGIONS = 2
        const val MESSAGE_FAULT_PROBABILITY = 0.05
        const val MAX_CLOCK_ERROR_MS = 200L
        const val ALLOWED_CLOCK_SKEW_MS = 500L
        const val SEAT_LEASE_MS = 6_000L
        const val COORDINATOR_INTERVAL_MS = 500L
        const val STORE_READ_INTERVAL_MS = 1_000L
        const val WARM_UP_MS = 15_000L
        const val DEMAND_TICK_MS = 10L
        const val DEMAND_CHANGE_INTERVAL_MS = 3_000L
        const val SURGE_PROBABILITY = 0.4
        const val SURGE_PER_TICK = 12
        const val RESTART_INTERVAL_MS = 8_000L
        const val PAUSE_INTERVAL_MS = 6_000L
        const val MAX_PAUSE_MS = 10_000L
        const val OUTAGE_TOGGLE_INTERVAL_MS = 15_000L
        const val PARTITION_INTERVAL_MS = 10_000L
        const val MAX_PARTITION_MS = 8_000L
        const val MAX_STORE_DELAY_MS = 300L
        const val LOAN_TIMEOUT_MS = 200L
        const val OVERRUN_FACTOR = 4L
        const val ACCUMULATION_INTERVAL_MS = 3_000L
        const val ACCUMULATION_ROUNDS = 60
        const val ACCUMULATION_ROUND_MS = 15L
        const val ISOLATION_INTERVAL_MS = 10_000L
        const val MAX_ISOLATION_MS = 20_000L
    }
}
