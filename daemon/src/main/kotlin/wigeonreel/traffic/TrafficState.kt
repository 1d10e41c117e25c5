package wigeonreel.traffic

import wigeonreel.drain.DrainState
import wigeonreel.http.HttpAddress
import wigeonreel.membership.ServerInfo

/** Backend server beside this daemon as it announced itself. */
data class LocalServer(
    val info: ServerInfo,
    val address: HttpAddress,
    val announcedAtMs: Long,
)

/** State that the services of the traffic duty share; touched by that duty's thread only. */
class TrafficState {
    /** Null until the control duty has a configuration. */
    var view: FleetView? = null

    /** Time at which the store or a peer was last heard. */
    var heardAtMs: Long = 0

    /** Backend server beside this daemon, or null while none has announced itself. */
    var server: LocalServer? = null

    /** Stage of leaving. */
    var drain: DrainState = DrainState.Serving

    /** Requests from callers and from the local server that were not yet answered, and forwarded ones being run. */
    var inFlight: Int = 0

    /** Whether keys can't be checked because neither store nor peers were heard. */
    fun isolated(nowMs: Long): Boolean = nowMs - heardAtMs > ISOLATED_AFTER_MS

    /** Whether new work is taken. */
    val serving: Boolean get() = drain == DrainState.Serving

    private companion object {
        const val ISOLATED_AFTER_MS = 5_000L
    }
}
