package wigeonreel.membership

import wigeonreel.place.Place

/** State of a daemon as others see it, in the order in which a later one replaces an earlier one. */
enum class MemberState { ALIVE, SUSPECT, DEAD, LEAVING, LEFT }

/** Address of a daemon for its peers: gRPC over TCP and the membership protocol over UDP on the same port number. */
data class PeerAddress(
    val host: String,
    val port: Int,
)

/** Backend server beside a daemon, as the server announced itself; [ready] is false while it is cold or leaving. */
data class ServerInfo(
    val service: String,
    val slots: Int,
    val ready: Boolean,
)

/**
 * One daemon in the view of the fleet.
 *
 * @param incarnation start time of the daemon in milliseconds since the epoch; a restart raises it.
 * @param revision raised by the daemon itself on each change of [server] and to refute a suspicion.
 */
data class Member(
    val id: String,
    val incarnation: Long,
    val revision: Int,
    val state: MemberState,
    val address: PeerAddress,
    val place: Place,
    val server: ServerInfo?,
) {
    /** Whether new work may be sent to this daemon's server. */
    val routable: Boolean get() = state == MemberState.ALIVE && server?.ready == true

    /** Whether this daemon takes part in the membership protocol. */
    val live: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT || state == MemberState.LEAVING

    /** Returns whether this word about a daemon replaces [other]. */
    fun supersedes(other: Member): Boolean =
        compareValuesBy(this, other, { it.incarnation }, { if (it.state == MemberState.LEFT) 1 else 0 }, { it.revision }, { it.state }) > 0

    companion object {
        /** Returns a daemon that has just started and knows no server yet. */
        fun starting(id: String, incarnation: Long, address: PeerAddress, place: Place): Member =
            Member(id, incarnation, revision = 0, MemberState.ALIVE, address, place, server = null)
    }
}
