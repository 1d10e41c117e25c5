package wigeonreel.steward

import com.google.common.hash.Hashing
import kotlinx.serialization.json.Json
import wigeonreel.config.ConfigEdit
import wigeonreel.config.Configuration
import wigeonreel.limit.SEATS_PER_REGION
import wigeonreel.limit.Seat
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.once.HomeSet
import wigeonreel.once.HomeSetVersion

/**
 * Bounds of the steward's decisions, in milliseconds.
 *
 * @param tenureMs time after which an orphaned seat passes to another daemon.
 * @param marginMs largest difference between two clocks.
 * @param historyMs age up to which former home sets are kept.
 */
data class StewardPolicy(
    val tenureMs: Long = 7_200_000,
    val marginMs: Long = 5_000,
    val historyMs: Long = 86_400_000 + 7_200_000 + 10_000,
)

/** Returns whether the daemon [self] is the steward of its region; two may think so for a while, which is safe. */
fun isSteward(self: Member, members: Collection<Member>): Boolean {
    val inRegion = members.filter { it.place.region == self.place.region && it.state == MemberState.ALIVE }
    return inRegion.minByOrNull { stewardWeight(it.id) }?.id == self.id
}

/** Returns the edits that bring home sets and seats in line with the members; written by compare-and-set. */
fun planStewardship(
    self: Member,
    members: Collection<Member>,
    configuration: Configuration,
    policy: StewardPolicy,
    nowMs: Long,
): List<ConfigEdit> {
    val view = StewardView(self, members.associateBy { it.id }, policy, nowMs)
    return view.homeEdits(configuration) + view.seatEdits(configuration)
}

private val json = Json { encodeDefaults = true }

private class StewardView(
    val self: Member,
    val members: Map<String, Member>,
    val policy: StewardPolicy,
    val nowMs: Long,
) {
    private val live = members.values.filter { it.state == MemberState.ALIVE || it.state == MemberState.SUSPECT }

    fun homeEdits(configuration: Configuration): List<ConfigEdit> =
        live
            .filter { it.server?.ready == true }
            .groupBy { it.server!!.service }
            .mapNotNull { (service, serving) -> homeEdit(service, serving, configuration.homeSets[service]) }

    private fun homeEdit(service: String, serving: List<Member>, set: HomeSet?): ConfigEdit? {
        val current = set?.current?.members.orEmpty()
        val kept = current.filter { members[it] == null || members.getValue(it).live }
        val wanted = (kept + serving.map { it.id }).distinct().sorted()
        if (wanted == current) return null
        val next = set?.next(wanted, nowMs, nowMs - policy.historyMs) ?: HomeSet(service, listOf(HomeSetVersion(1, wanted, nowMs)))
        return ConfigEdit("home/$service", json.encodeToString(HomeSet.serializer(), next))
    }

    fun seatEdits(configuration: Configuration): List<ConfigEdit> {
        val region = self.place.region
        val holders = live.filter { it.place.region == region && it.state == MemberState.ALIVE }.sortedBy { it.id }
        return (0 until SEATS_PER_REGION).mapNotNull { number ->
            val seat = configuration.seats["$region-$number"] ?: Seat(region, number)
            seatEdit(seat, holders)?.let { ConfigEdit("seat/${it.name}", json.encodeToString(Seat.serializer(), it)) }
        }
    }

    private fun seatEdit(seat: Seat, holders: List<Member>): Seat? {
        if (seat.holder == null || mayPass(seat)) return assign(seat, holders)
        val holder = members[seat.holder]
        val gone = holder != null && (!holder.live || holder.incarnation != seat.incarnation)
        return if (gone && seat.orphanedAtMs == null) seat.copy(orphanedAtMs = nowMs) else null
    }

    /** The holder's process is over when its address has a newer incarnation; else the tenure must pass. */
    private fun mayPass(seat: Seat): Boolean {
        val holder = members[seat.holder]
        val replaced = holder != null && holder.incarnation > seat.incarnation
        val orphanedAtMs = seat.orphanedAtMs ?: return replaced
        return replaced || nowMs - orphanedAtMs > policy.tenureMs + policy.marginMs
    }

    private fun assign(seat: Seat, holders: List<Member>): Seat? {
        val holder =
            holders.minByOrNull { Hashing.murmur3_128().hashString("${seat.name}/${it.id}", Charsets.UTF_8).asLong() } ?: return null
        return seat.copy(holder = holder.id, incarnation = holder.incarnation, sinceMs = nowMs, orphanedAtMs = null)
    }
}

private fun stewardWeight(id: String): Long = Hashing.murmur3_128().hashString("steward/$id", Charsets.UTF_8).asLong()
