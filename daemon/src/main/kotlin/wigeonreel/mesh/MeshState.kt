package wigeonreel.mesh

import wigeonreel.backend.BackendTracker
import wigeonreel.drain.ShutdownSchedule
import wigeonreel.traffic.FleetView

/**
 * State shared by the services of the traffic event loop; accessed only from that loop's thread, but for [shutdownSchedule].
 *
 * @param keysValidWithoutContactMs time without contact to the store or a peer after which keys are not accepted, in milliseconds.
 */
class MeshState(
    shutdownSchedule: ShutdownSchedule,
    private val keysValidWithoutContactMs: Long,
) {
    /** Times of a shutdown; replaced when the settings change, by any thread. */
    @Volatile
    var shutdownSchedule: ShutdownSchedule = shutdownSchedule

    /** Current fleet and configuration, or null until both are known. */
    var view: FleetView? = null

    /** Time of the last contact with the store or a peer, in milliseconds. */
    var lastContactAtMs: Long = 0

    /** Whether the announcements of all daemons were read; until then the view has only the daemons discovered so far. */
    var announcementsRead = false

    /** Backend server on this daemon's VM. */
    val backend = BackendTracker()

    /** Time from which the backend server gets no more of the requests that were queued when it announced its departure. */
    var backendDrainedAtMs: Long = Long.MAX_VALUE

    /** Time until which the backend server gets no requests after it refused connections, in milliseconds. */
    var backendDownUntilMs: Long = 0

    /**
     * Time until which the backend server counts as not ready because the departure record has not been read, in milliseconds.
     *
     * Without the record, a report of a server that has already announced its departure can't be distinguished
     * from one of a ready server.
     */
    var departureReadDeadlineMs: Long = 0

    /** Time at which this daemon was asked to stop, in milliseconds, or null. */
    var stopRequestedAtMs: Long? = null

    /** Whether this daemon was asked to stop. */
    val leaving: Boolean get() = stopRequestedAtMs != null

    /** Whether this daemon accepts no more requests because its process is about to end. */
    var closing = false

    /** Returns whether keys can't be checked because there was no contact with the store or a peer for too long. */
    fun isolated(nowMs: Long): Boolean = nowMs - lastContactAtMs > keysValidWithoutContactMs

    /** Returns whether the backend server accepts new requests. */
    fun backendReady(nowMs: Long): Boolean = backend.ready && nowMs >= maxOf(backendDownUntilMs, departureReadDeadlineMs)

    /** Returns whether a request that may last [timeoutMs] milliseconds is accepted. */
    fun accepts(timeoutMs: Long, nowMs: Long): Boolean =
        !closing && (stopRequestedAtMs?.let { shutdownSchedule.accepts(nowMs - it, timeoutMs) } ?: true)

    /** Returns the time until the process of a stopping daemon has ended, in milliseconds. */
    fun remainingGraceMs(nowMs: Long): Long = stopRequestedAtMs?.let { (it + shutdownSchedule.graceMs - nowMs).coerceAtLeast(0) } ?: 0

    /** Returns whether callers may send new requests to this daemon. */
    fun ready(nowMs: Long): Boolean = view != null && !leaving && !isolated(nowMs)
}
