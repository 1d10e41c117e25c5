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
 * Time bounds of the home sets and seats that a region coordinator plans, in milliseconds.
 *
 * @param seatLeaseMs time after which an orphaned seat is reassigned to another daemon.
 * @param maxClockSkewMs maximum difference between two clocks.
 * @param homeSetRetentionMs time for which a replaced home set version is kept.
 */
data class RegionCoordinatorPolicy(
    val seatLeaseMs: Long = 7_200_000,
    val maxClockSkewMs: Long = 5_000,
    val homeSetRetentionMs: Long = 86_400_000 + 7_200_000 + 10_000,
)

/**
 * Returns whether [self] is the coordinator of its region, the daemon that maintains home sets and seats.
 *
 * Two daemons may both act as coordinator while their views differ; this is safe, since edits are written by compare-and-set.
 */
fun isRegionCoordinator(self: Member, members: Collection<Member>): Boolean {
    val inRegion = members.filter { it.place.region == self.place.region && it.state == MemberState.ALIVE }
    return inRegion.minByOrNull { coordinatorWeight(it.id) }?.id == self.id
}

/** Returns the edits that update home sets and seats to match [members]; the caller writes them by compare-and-set. */
fun planHomesAndSeats(
    self: Member,
    members: Collection<Member>,
    configuration: Configuration,
    policy: RegionCoordinatorPolicy,
    nowMs: Long,
): List<ConfigEdit> {
    val view = PlanView(self, members.associateBy { it.id }, policy, nowMs)
    return view.homeEdits(configuration) + view.seatEdits(configuration)
}

private val json = Json { encodeDefaults = true }

private class PlanView(
    val self: Member,
    val members: Map<String, Member>,
    val policy: RegionCoordinatorPolicy,
    val nowMs: Long,
) {
    private val live = members.values.filter { it.state == MemberState.ALIVE || it.state == MemberState.SUSPECT }

    fun homeEdits(configuration: Configuration): List<ConfigEdit> =
        live
            .filter { it.server?.ready == true }
            .groupBy { it.server!!.service }
            .mapNotNull { (service, readyMembers) -> homeEdit(service, readyMembers, configuration.homeSets[service]) }

    private fun homeEdit(service: String, readyMembers: List<Member>, set: HomeSet?): ConfigEdit? {
        val current = set?.current?.members.orEmpty()
        val retainedIds = current.filter { members[it] == null || members.getValue(it).live }
        val nextIds = (retainedIds + readyMembers.map { it.id }).distinct().sorted()
        if (nextIds == current) return null
        val next =
            set?.next(nextIds, nowMs, nowMs - policy.homeSetRetentionMs)
                ?: HomeSet(service, listOf(HomeSetVersion(1, nextIds, nowMs)))
        return ConfigEdit("home/$service", json.encodeToString(HomeSet.serializer(), next))
    }

    fun seatEdits(configuration: Configuration): List<ConfigEdit> {
        val region = self.place.region
        val candidates = live.filter { it.place.region == region && it.state == MemberState.ALIVE }.sortedBy { it.id }
        return (0 until SEATS_PER_REGION).mapNotNull { number ->
            val seat = configuration.seats["$region-$number"] ?: Seat(region, number)
            seatEdit(seat, candidates)?.let { ConfigEdit("seat/${it.name}", json.encodeToString(Seat.serializer(), it)) }
        }
    }

    private fun seatEdit(seat: Seat, candidates: List<Member>): Seat? {
        if (seat.holder == null || mayReassign(seat)) return assign(seat, candidates)
        val holder = members[seat.holder]
        val holderGone = holder != null && (!holder.live || holder.incarnation != seat.incarnation)
        return if (holderGone && seat.orphanedAtMs == null) seat.copy(orphanedAtMs = nowMs) else null
    }

    /** A newer incarnation of the holder proves that the old process has ended; otherwise the seat lease must expire. */
    private fun mayReassign(seat: Seat): Boolean {
        val holder = members[seat.holder]
        val replaced = holder != null && holder.incarnation > seat.incarnation
        val orphanedAtMs = seat.orphanedAtMs ?: return replaced
        return replaced || nowMs - orphanedAtMs > policy.seatLeaseMs + policy.maxClockSkewMs
    }

    private fun assign(seat: Seat, candidates: List<Member>): Seat? {
        val holder =
            candidates.minByOrNull { Hashing.murmur3_128().hashString("${seat.name}/${it.id}", Charsets.UTF_8).asLong() } ?: return null
        return seat.copy(holder = holder.id, incarnation = holder.incarnation, sinceMs = nowMs, orphanedAtMs = null)
    }
}

private fun coordinatorWeight(id: String): Long = Hashing.murmur3_128().hashString("steward/$id", Charsets.UTF_8).asLong()
