package wigeonreel.traffic

import com.google.common.hash.Hashing
import wigeonreel.codec.toWire
import wigeonreel.config.Configuration
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.place.Distance
import wigeonreel.routing.Candidate
import wigeonreel.wire.ConfigDelta
import wigeonreel.wire.FetchConfigRequest

/** Immutable snapshot of the fleet and configuration for request handling; the control event loop publishes each new one. */
class FleetView(
    val self: Member,
    val members: Collection<Member>,
    val configuration: Configuration,
) {
    private val byId = members.associateBy { it.id }
    private val candidates =
        members
            .filter { it.routable }
            .groupBy { it.server!!.service }
            .mapValues { (_, serving) -> subset(serving) }

    /** Returns the servers of [service] to which this daemon sends requests, in order of distance; empty if there are none. */
    fun candidatesOf(service: String): List<Candidate> = candidates[service].orEmpty()

    /** Returns the member with this [id], or null if it is unknown. */
    fun member(id: String): Member? = byId[id]

    /** Number of members, at least 1; includes dead ones that are still listed, but none that left by a graceful shutdown. */
    val daemonCount: Int = members.count { it.state != MemberState.LEFT }.coerceAtLeast(1)

    /** Members sorted by id; cached because each token request searches them for the first serving one. */
    val membersSortedById: List<Member> by lazy { members.sortedBy { it.id } }

    /** Ids of all members. */
    val memberIds: Set<String> get() = byId.keys

    /** Selects a bounded subset of a service's servers by rendezvous hashing, so that connections do not grow with the fleet. */
    private fun subset(serving: List<Member>): List<Candidate> =
        Distance.entries.flatMap { distance ->
            serving
                .filter { self.place.distanceTo(it.place) == distance }
                .sortedBy { weightOf(it.id) }
                .take(MAX_SERVERS_PER_DISTANCE)
                .map { Candidate(it.id, distance, it.server!!.slots) }
        }

    private fun weightOf(id: String) = Hashing.murmur3_128().hashString("${self.id}/$id", Charsets.UTF_8).asLong()

    private companion object {
        const val MAX_SERVERS_PER_DISTANCE = 8
    }
}

/** Returns the configuration entries changed after the version in [request]; an empty delta if there is no configuration yet. */
fun FleetView?.deltaFor(request: FetchConfigRequest): ConfigDelta =
    this?.configuration?.deltaSince(request.afterVersion)?.toWire() ?: ConfigDelta.getDefaultInstance()
