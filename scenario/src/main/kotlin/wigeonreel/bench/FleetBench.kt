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
import wigeonreel.membership.MemberState
import wigeonreel.membership.Membership
import wigeonreel.membership.MembershipPolicy
import wigeonreel.once.Attempt
import wigeonreel.once.ExecutionRecords
import wigeonreel.once.HomeBinding
import wigeonreel.once.OncePolicy
import wigeonreel.once.mintKey
import wigeonreel.traffic.FleetView
import java.lang.ref.Reference
import kotlin.random.Random

/** Heap bytes retained in a daemon per additional item of each kind. */
@Serializable
internal data class StateReport(
    val bytesPerMember: Double,
    val bytesPerCandidateView: Double,
    val bytesPerAccount: Double,
    val bytesPerExecutionRecord: Double,
)

/** CPU costs of the membership and the fleet view of one daemon in a fleet of [members]. */
@Serializable
internal data class ViewReport(
    val members: Int,
    val tickCpuUsPerSecond: Double,
    val messageCpuUs: Double,
    val viewBuildMs: Double,
)

/** Cost at one daemon of a configuration change when the configuration has [accounts] client accounts. */
@Serializable
internal data class ChangeReport(
    val accounts: Int,
    val mergeMs: Double,
    val documentBytes: Int,
)

/**
 * Measures how costs grow with fleet and configuration size; docs/CAPACITY.md is derived from these slopes.
 *
 * It runs in virtual time, so only CPU time and heap sizes vary between runs.
 */
internal class FleetBench(
    private val seed: Long,
) {
    fun run(sizes: List<Int>) {
        val state = measureState()
        println(Json.encodeToString(state))
        val views = listOf(50, 500, 3_700).map { measureView(it) }.onEach { println(Json.encodeToString(it)) }
        val changes = listOf(8, 100, 400).map { measureChange(it) }.onEach { println(Json.encodeToString(it)) }
        val spreads =
            sizes
                .flatMap { size ->
                    listOf(0, 1).map { SpreadBench(seed, size, it).measure() }
                }.onEach { println(Json.encodeToString(it)) }
        val last = spreads.last()
        println(
            """{"bench":"fleet","seed":$seed,"bytesPerMember":${state.bytesPerMember},""" +
                """"tickCpuUsPerSecondAt3700":${views.last().tickCpuUsPerSecond},""" +
                """"mergeMsAt400Accounts":${changes.last().mergeMs},"members":${last.members},"inForce99Ms":${last.inForce99Ms},""" +
                """"inForceAllMs":${last.inForceAllMs},"quietBytesInPerSecond":${last.quietBytesInPerSecond},"falseDeaths":${spreads.sumOf {
                    it.falseDeaths
                }}}""",
        )
    }

    private fun measureState(): StateReport {
        val memberBytes = bytesPerItem(VIEW_SIZE) { membershipOf(VIEW_SIZE) }
        val members = (0 until VIEW_SIZE).map { memberOf(it, DOMAINS, SERVICES) }
        val viewBytes = bytesPerItem(VIEW_SIZE) { FleetView(members[0], members, Configuration.EMPTY) }
        val accountBytes = bytesPerItem(ACCOUNTS) { configurationOf(ACCOUNTS) }
        return StateReport(memberBytes, viewBytes, accountBytes, bytesPerItem(RECORDS) { filledRecords() })
    }

    private fun bytesPerItem(count: Int, build: () -> Any): Double {
        val before = retainedBytes()
        val built = build()
        val after = retainedBytes()
        return (after - before).toDouble() / count.also { Reference.reachabilityFence(built) }
    }

    private fun filledRecords(): ExecutionRecords<String> {
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
        const val NS_PER_US = 1_000.0
        const val NS_PER_MS = 1_000_000.0
    }
}
