package wigeonreel.traffic

import wigeonreel.drain.DrainState
import wigeonreel.http.HttpAddress
import wigeonreel.membership.ServerInfo

/** Local backend server according to its last announcement. */
data class LocalServer(
    val info: ServerInfo,
    val address: HttpAddress,
    val announcedAtMs: Long,
)

/** State shared by the services of the traffic event loop. Not thread-safe: accessed on that event loop only. */
class TrafficState {
    /** Snapshot of the fleet, or null until the control event loop has a configuration. */
    var view: FleetView? = null

    /** Time of the last message from the store or a peer. */
    var lastContactAtMs: Long = 0

    /** Local backend server, or null until its first announcement. */
    var server: LocalServer? = null

    /** Stage of the graceful shutdown. */
    var drain: DrainState = DrainState.Serving

    /** Number of unanswered requests from callers and the local server, plus forwarded requests that the local server runs. */
    var inFlight: Int = 0

    /** Returns whether keys can't be checked because there has been no contact with the store or a peer for 5 s. */
    fun isolated(nowMs: Long): Boolean = nowMs - lastContactAtMs > ISOLATED_AFTER_MS

    /** Whether new requests are accepted. */
    val serving: Boolean get() = drain == DrainState.Serving

    private companion object {
        const val ISOLATED_AFTER_MS = 5_000L
    }
}
