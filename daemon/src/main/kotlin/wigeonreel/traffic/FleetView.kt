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

/** What the path of requests knows of the fleet; replaced as a whole by the control duty. */
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

    /** Returns the servers of [service] that this daemon uses, or an empty list. */
    fun candidatesOf(service: String): List<Candidate> = candidates[service].orEmpty()

    /** Returns the daemon [id], or null. */
    fun member(id: String): Member? = byId[id]

    /** Number of daemons that are or lately were in the fleet; those that left on purpose do not count. */
    val knownDaemons: Int = members.count { it.state != MemberState.LEFT }.coerceAtLeast(1)

    /** Known daemons by id; sorted once, since each request for tokens looks for the first that serves. */
    val membersById: List<Member> by lazy { members.sortedBy { it.id } }

    /** Ids of all known daemons. */
    val memberIds: Set<String> get() = byId.keys

    /** Each daemon uses a part of a service's servers, so that connections do not grow with the fleet. */
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

/** Returns the wire form of the entries changed after the version that [request] names; empty while no configuration is known. */
fun FleetView?.deltaFor(request: FetchConfigRequest): ConfigDelta =
    this?.configuration?.deltaSince(request.afterVersion)?.toWire() ?: ConfigDelta.getDefaultInstance()
