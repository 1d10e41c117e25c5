package wigeonreel.bench

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigEdit
import wigeonreel.config.ConfigEntry
import wigeonreel.config.Configuration
import wigeonreel.limit.LimitPolicy
import wigeonreel.limit.SeatLender
import wigeonreel.membership.ConfigProof
import wigeonreel.membership.GossipAttachment
import wigeonreel.membership.MemberState
import wigeonreel.membership.Membership
import wigeonreel.membership.MembershipPolicy
import wigeonreel.once.Attempt
import wigeonreel.once.ExecutionRecords
import wigeonreel.once.HomeBinding
import wigeonreel.once.OncePolicy
import wigeonreel.once.mintKey
import wigeonreel.soak.EventQueue
import wigeonreel.traffic.FleetView
import java.lang.ref.Reference
import kotlin.random.Random

/** Bytes that one more of something keeps in a daemon. */
@Serializable
internal data class StateReport(
    val bytesPerMember: Double,
    val bytesPerCandidateView: Double,
    val bytesPerAccount: Double,
    val bytesPerExecutionRecord: Double,
)

/** One daemon core with a whole fleet's view: costs of a second of control. */
@Serializable
internal data class ViewReport(
    val members: Int,
    val tickCpuUsPerSecond: Double,
    val messageCpuUs: Double,
    val viewBuildMs: Double,
)

/** Configuration of a given size: cost of one change at a daemon. */
@Serializable
internal data class ChangeReport(
    val accounts: Int,
    val mergeMs: Double,
    val documentBytes: Int,
)

/** Fleet of real cores on virtual time. */
@Serializable
internal data class SpreadReport(
    val members: Int,
    val lossPercent: Int,
    val inForce50Ms: Long,
    val inForce99Ms: Long,
    val inForceAllMs: Long,
    val quietBytesInPerSecond: Double,
    val quietBytesOutPerSecond: Double,
    val regionLinkBytesPerSecond: Double,
    val killNoticed50Ms: Long,
    val killNoticedAllMs: Long,
    val falseDeaths: Int,
    val deadAfterPause10s: Boolean,
    val domainLossBytesInPerSecond: Double,
)

/** Measures the slopes that docs/CAPACITY.md is worked out from; virtual time, so only CPU and heap vary between runs. */
internal class FleetBench(
    private val seed: Long,
) {
    fun run(sizes: List<Int>) {
        val state = measureState()
        println(Json.encodeToString(state))
        val views = listOf(50, 500, 3_700).map { measureView(it) }.onEach { println(Json.encodeToString(it)) }
        val changes = listOf(8, 100, 400).map { measureChange(it) }.onEach { println(Json.encodeToString(it)) }
        val spreads = sizes.flatMap { size -> listOf(0, 1).map { measureSpread(size, it) } }.onEach { println(Json.encodeToString(it)) }
        val worst = spreads.last()
        println(
            """{"bench":"fleet","seed":$seed,"bytesPerMember":${state.bytesPerMember},""" +
                """"tickCpuUsPerSecondAt3700":${views.last().tickCpuUsPerSecond},""" +
                """"mergeMsAt400Accounts":${changes.last().mergeMs},"members":${worst.members},"inForce99Ms":${worst.inForce99Ms},""" +
                """"inForceAllMs":${worst.inForceAllMs},"quietBytesInPerSecond":${worst.quietBytesInPerSecond},"falseDeaths":${spreads.sumOf {
                    it.falseDeaths
                }}}""",
        )
    }

    private fun measureState(): StateReport {
        val memberBytes = slope(VIEW_SIZE) { membershipOf(VIEW_SIZE) }
        val members = (0 until VIEW_SIZE).map { memberOf(it, DOMAINS, SERVICES) }
        val viewBytes = slope(VIEW_SIZE) { FleetView(members[0], members, Configuration.EMPTY) }
        val accountBytes = slope(ACCOUNTS) { configurationOf(ACCOUNTS) }
        return StateReport(memberBytes, viewBytes, accountBytes, slope(RECORDS) { records() })
    }

    private fun slope(count: Int, build: () -> Any): Double {
        val before = retainedBytes()
        val kept = build()
        val after = retainedBytes()
        return (after - before).toDouble() / count.also { Reference.reachabilityFence(kept) }
    }

    private fun records(): ExecutionRecords<String> {
        val records = ExecutionRecords<String>("d0", 1, 0, OncePolicy())
        repeat(RECORDS) {
            val key = mintKey(HomeBinding("d0", 1), NOW_MS, it.toLong(), it.toLong())
            val attempt = Attempt<String>("a$it", "account-${it % ACCOUNTS}", key, it, NOW_MS + 1_000)
            records.begin(attempt, NOW_MS)
            records.finish(attempt, "outcome $it")
        }
        return records
    }

    private fun membershipOf(size: Int): Membership {
        val membership = Membership(memberOf(0, DOMAINS, SERVICES), MembershipPolicy(), Random(seed))
        membership.seed((1 until size).map { memberOf(it, DOMAINS, SERVICES) }, NOW_MS)
        return membership
    }

    private fun measureView(size: Int): ViewReport {
        val membership = membershipOf(size)
        val sender = membershipOf(size).also { it.announce(null, MemberState.ALIVE) }
        val messages = (0 until MESSAGES).flatMap { sender.tick(NOW_MS + it * 1_000L) }.map { it.message }
        repeat(WARM_UP_S) { second -> tickSecond(membership, second) }
        val tickNs = cpuNs { repeat(MEASURED_S) { second -> tickSecond(membership, WARM_UP_S + second) } }
        messages.forEach { membership.onMessage(it, sender.self.address, NOW_MS) }
        val messageNs = cpuNs { repeat(MESSAGE_ROUNDS) { messages.forEach { membership.onMessage(it, sender.self.address, NOW_MS) } } }
        val members = membership.view.members.toList()
        repeat(VIEW_WARM_UP) { FleetView(members[0], members, Configuration.EMPTY) }
        val viewNs = cpuNs { repeat(VIEW_BUILDS) { FleetView(members[0], members, Configuration.EMPTY) } }
        return ViewReport(
            members = size,
            tickCpuUsPerSecond = tickNs / NS_PER_US / MEASURED_S,
            messageCpuUs = messageNs / NS_PER_US / (MESSAGE_ROUNDS * messages.size),
            viewBuildMs = viewNs / NS_PER_MS / VIEW_BUILDS,
        )
    }

    private fun tickSecond(membership: Membership, second: Int) =
        repeat(TICKS_PER_S) { membership.tick(NOW_MS + second * 1_000L + it * 100L) }

    private fun configurationOf(accounts: Int): Configuration {
        val edits =
            (0 until accounts).flatMap {
                listOf(
                    ConfigEdit("account/a$it", """{"name":"a$it","ratePerSecond":100,"burst":100,"labels":{"tier":"gold"}}"""),
                    ConfigEdit("key/$it", """{"hash":"${"%064x".format(it)}","account":"a$it"}"""),
                )
            }
        val services = (0 until SERVICES).map { ConfigEdit("service/service-$it", """{"name":"service-$it"}""") }
        val seats =
            (0 until 2).flatMap { region ->
                (0 until 32).map {
                    ConfigEdit(
                        "seat/r$region-$it",
                        """{"region":"r$region","number":$it,"holder":"d$it","incarnation":1}""",
                    )
                }
            }
        return Configuration.EMPTY.plan(edits + services + seats).getOrNull()!!
    }

    private fun measureChange(accounts: Int): ChangeReport {
        var current = configurationOf(accounts)
        val lender = SeatLender("d0", 1, LimitPolicy())
        val documentBytes =
            current.toDocument("op").let { document ->
                document.entries.sumOf {
                    it.name.length + it.value.orEmpty().length +
                        ENTRY_BYTES
                }
            }
        val change = {
            val next = current.version + 1
            val entry = ConfigEntry("account/a1", """{"name":"a1","ratePerSecond":$next,"burst":100}""", next)
            current = current.merge(ConfigDelta(current.version, next, listOf(entry))).getOrNull()!!
            lender.onConfiguration(current, NOW_MS, NOW_MS)
        }
        repeat(CHANGE_WARM_UP) { change() }
        val ns = cpuNs { repeat(CHANGES) { change() } }
        return ChangeReport(accounts, ns / NS_PER_MS / CHANGES, documentBytes)
    }

    private fun measureSpread(size: Int, lossPercent: Int): SpreadReport {
        val queue = EventQueue(seed)
        val fleet = FleetNetwork(size, queue, lossPercent / 100.0)
        fleet.startJoined()
        queue.run(SETTLE_MS)
        val quiet = fleet.bytesOver(queue, QUIET_MS)
        val inForce = spreadConfig(fleet, queue)
        val killed = kill(fleet, queue)
        val paused = fleet.nodes[size / 3]
        paused.pausedUntilMs = queue.nowMs + PAUSE_MS
        queue.run(PAUSE_MS + RECOVER_MS)
        val deadAfterPause = fleet.nodes.any { it.up && it.membership.view[paused.membership.self.id]?.state == MemberState.DEAD }
        val falseDeaths =
            fleet.nodes.count { node ->
                node.up &&
                    fleet.nodes.any { it.up && it.membership.view[node.membership.self.id]?.state == MemberState.DEAD }
            }
        val lost = fleet.nodes.filter { it.membership.self.place.failureDomain == "fd2" }.onEach { it.up = false }
        val domainLoss = fleet.bytesOver(queue, DOMAIN_LOSS_MS)
        return SpreadReport(
            members = size,
            lossPercent = lossPercent,
            inForce50Ms = inForce[inForce.size / 2],
            inForce99Ms = inForce[inForce.size * 99 / 100],
            inForceAllMs = inForce.last(),
            quietBytesInPerSecond = quiet.inPerSecond,
            quietBytesOutPerSecond = quiet.outPerSecond,
            regionLinkBytesPerSecond = quiet.linkPerSecond,
            killNoticed50Ms = killed[killed.size / 2],
            killNoticedAllMs = killed.last(),
            falseDeaths = falseDeaths,
            deadAfterPause10s = deadAfterPause,
            domainLossBytesInPerSecond = domainLoss.inPerSecond * size / (size - lost.size),
        )
    }

    /** The daemon that an operator asked has the change; it spreads as the real daemon spreads it. */
    private fun spreadConfig(fleet: FleetNetwork, queue: EventQueue): List<Long> {
        val entry = ConfigEntry("account/a1", """{"name":"a1","ratePerSecond":100,"burst":100,"labels":{"tier":"gold"}}""", 1)
        val attachment = GossipAttachment(ConfigProof(1, queue.nowMs), ConfigDelta(0, 1, listOf(entry)))
        val startedMs = queue.nowMs
        val times = mutableListOf<Long>()
        val take = { node: FleetNetwork.Node ->
            if (node.heardVersion == 0L) {
                node.heardVersion = 1
                node.membership.attach(attachment)
                times += queue.nowMs - startedMs
            }
        }
        fleet.onTaken = { node, message -> if (message.proof.version == 1L) take(node) }
        take(fleet.nodes[0])
        queue.run(SPREAD_MS)
        fleet.onTaken = { _, _ -> }
        return times + List(fleet.nodes.size - times.size) { SPREAD_MS }
    }

    private fun kill(fleet: FleetNetwork, queue: EventQueue): List<Long> {
        val victim = fleet.nodes[fleet.nodes.size / 2].also { it.up = false }
        val startedMs = queue.nowMs
        val times = LongArray(fleet.nodes.size) { -1 }
        repeat((NOTICE_MS / STEP_MS).toInt()) {
            queue.run(STEP_MS)
            fleet.nodes.forEachIndexed { i, node ->
                if (times[i] < 0 && node.membership.view[victim.membership.self.id]?.live != true) times[i] = queue.nowMs - startedMs
            }
        }
        return fleet.nodes.indices
            .filter { fleet.nodes[it].up }
            .map { if (times[it] < 0) NOTICE_MS else times[it] }
            .sorted()
    }

    private class Traffic(
        val inPerSecond: Double,
        val outPerSecond: Double,
        val linkPerSecond: Double,
    )

    private fun FleetNetwork.bytesOver(queue: EventQueue, durationMs: Long): Traffic {
        val inBefore = nodes.sumOf { it.bytesIn }
        val outBefore = nodes.sumOf { it.bytesOut }
        val linkBefore = regionLinkBytes
        queue.run(durationMs)
        val perNodeSecond = nodes.size * durationMs / 1_000.0
        return Traffic(
            inPerSecond = (nodes.sumOf { it.bytesIn } - inBefore) / perNodeSecond,
            outPerSecond = (nodes.sumOf { it.bytesOut } - outBefore) / perNodeSecond,
            linkPerSecond = (regionLinkBytes - linkBefore) / (durationMs / 1_000.0),
        )
    }

    private companion object {
        const val NOW_MS = 1_700_000_000_000L
        const val DOMAINS = 6
        const val SERVICES = 110
        const val VIEW_SIZE = 3_700
        const val ACCOUNTS = 400
        const val RECORDS = 20_000
        const val MESSAGES = 50
        const val MESSAGE_ROUNDS = 200
        const val WARM_UP_S = 300
        const val MEASURED_S = 300
        const val TICKS_PER_S = 10
        const val VIEW_WARM_UP = 20
        const val VIEW_BUILDS = 20
        const val ENTRY_BYTES = 40
        const val CHANGE_WARM_UP = 100
        const val CHANGES = 100
        const val SETTLE_MS = 20_000L
        const val QUIET_MS = 20_000L
        const val SPREAD_MS = 20_000L
        const val PAUSE_MS = 10_000L
        const val RECOVER_MS = 15_000L
        const val NOTICE_MS = 30_000L
        const val STEP_MS = 100L
        const val DOMAIN_LOSS_MS = 30_000L
        const val NS_PER_US = 1_000.0
        const val NS_PER_MS = 1_000_000.0
    }
}
