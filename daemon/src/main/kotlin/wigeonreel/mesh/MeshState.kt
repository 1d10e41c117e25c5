package wigeonreel.mesh

import wigeonreel.backend.BackendTracker
import wigeonreel.traffic.FleetView

/** State that the services of the traffic duty share; touched by that duty's thread only. */
class MeshState {
    /** Null until a configuration and the fleet are known. */
    var view: FleetView? = null

    /** Time at which the store or a peer was last heard, in milliseconds. */
    var heardAtMs: Long = 0

    /** Whether the daemons of the fleet are known, and not only those that were met so far. */
    var announcementsRead = false

    /** Backend server beside this daemon. */
    val backend = BackendTracker()

    /** Time until which the backend server is left alone after it refused connections, in milliseconds. */
    var backendDownUntilMs: Long = 0

    /** Time until which a server's reports are not believed, since the record of departures is not read yet, in milliseconds. */
    var recordAwaitedUntilMs: Long = 0

    /** Whether this daemon was told to stop. */
    var leaving = false

    /** Whether this daemon takes nothing more, since it is about to end. */
    var closing = false

    /** Requests that were read and not yet answered, and forwarded ones that run. */
    var inFlight: Int = 0

    /** Whether keys can't be checked because neither store nor peers were heard. */
    fun isolated(nowMs: Long): Boolean = nowMs - heardAtMs > ISOLATED_AFTER_MS

    /** Whether the backend server takes new requests. */
    fun backendReady(nowMs: Long): Boolean = backend.ready && nowMs >= maxOf(backendDownUntilMs, recordAwaitedUntilMs)

    /** Whether callers may send new requests here. */
    fun ready(nowMs: Long): Boolean = view != null && !leaving && !isolated(nowMs)

    private companion object {
        /** Withdrawn keys must stop within seconds, also on a daemon that hears nobody. */
        const val ISOLATED_AFTER_MS = 5_000L
    }
}
