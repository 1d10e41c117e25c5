package wigeonreel.membership

import wigeonreel.place.Place

/** State of a daemon in the view of its peers; at the same incarnation and revision, a later entry replaces an earlier one. */
enum class MemberState { ALIVE, SUSPECT, DEAD, LEAVING, LEFT }

/** Peer address of a daemon: gRPC over TCP and the membership protocol over UDP, on the same port number. */
data class PeerAddress(
    val host: String,
    val port: Int,
)

/** Backend server of a daemon as the server announced itself; [ready] is false while it warms up or shuts down. */
data class ServerInfo(
    val service: String,
    val slots: Int,
    val ready: Boolean,
)

/**
 * One daemon in a view of the fleet.
 *
 * @param incarnation start time of the daemon in milliseconds since the epoch; increases with each restart.
 * @param revision counter that the daemon increments on each change of [server] or [state] and to refute a suspicion.
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
    /** Whether new requests may be sent to this daemon's server. */
    val routable: Boolean get() = state == MemberState.ALIVE && server?.ready == true

    /** Whether this daemon takes part in the membership protocol. */
    val live: Boolean get() = state == MemberState.ALIVE || state == MemberState.SUSPECT || state == MemberState.LEAVING

    /** Returns whether this update of a daemon is newer than [other]. */
    fun supersedes(other: Member): Boolean =
        compareValuesBy(this, other, { it.incarnation }, { if (it.state == MemberState.LEFT) 1 else 0 }, { it.revision }, { it.state }) > 0

    companion object {
        /** Returns a daemon that has just started and has no announced server yet. */
        fun starting(id: String, incarnation: Long, address: PeerAddress, place: Place): Member =
            Member(id, incarnation, revision = 0, MemberState.ALIVE, address, place, server = null)
    }
}
