package wigeonreel.drain

/** Ordered stages of the graceful shutdown of a daemon whose backend server keeps running. */
enum class ShutdownStage {
    /** Callers are notified; peers may still send requests for the backend server. */
    CALLERS_NOTIFIED,

    /** Peers are notified too; open requests are finished. */
    PEERS_NOTIFIED,

    /** No request is open, or the grace period is over. */
    DONE,
}

/** Maximum time for which peers may still send requests, in milliseconds; the rest of [MIN_SHUTDOWN_MS] is for finishing them. */
private const val MAX_PEERS_SERVED_MS = 1_500L

/** Maximum share of the grace period in which peers may still send requests. */
private const val MAX_PEERS_SERVED_SHARE = 0.25

/** Minimum duration of a shutdown, in milliseconds; callers check readiness each second and need two failed checks to leave. */
private const val MIN_SHUTDOWN_MS = 2_500L

/** Time before the end of the grace period at which the process exits by itself, in milliseconds. */
const val GRACE_MARGIN_MS: Long = 400

/** Maximum time after the request to stop at which requests are accepted whatever their timeouts, in milliseconds. */
private const val MAX_LATE_ACCEPTANCE_MS = 3_000L

/** Maximum share of the grace period in which requests are accepted whatever their timeouts. */
private const val MAX_LATE_ACCEPTANCE_SHARE = 0.5

/**
 * Returns whether a daemon that was asked to stop [sinceMs] milliseconds ago accepts a request that may last [timeoutMs] milliseconds.
 *
 * Load pattern: callers that ignore the readiness of the daemon keep sending requests until its process has ended. A request that
 * may outlast the process is refused while it is still true that it was not run.
 */
fun acceptsWhileStopping(sinceMs: Long, timeoutMs: Long, graceMs: Long): Boolean =
    sinceMs <= minOf(MAX_LATE_ACCEPTANCE_MS, (graceMs * MAX_LATE_ACCEPTANCE_SHARE).toLong()) ||
        sinceMs + timeoutMs <= graceMs - GRACE_MARGIN_MS

/**
 * Returns the shutdown stage of a daemon that was asked to stop [sinceMs] milliseconds ago and has [open] requests.
 *
 * Load pattern: daemons are restarted in turn, each before the previous one is back, and the deepest service has few
 * servers. Its slots stay in use while the callers of the VM switch to other entries, so fewer slots are missing at a time.
 */
fun shutdownStage(sinceMs: Long, open: Int, graceMs: Long): ShutdownStage =
    when {
        sinceMs >= graceMs - GRACE_MARGIN_MS -> ShutdownStage.DONE
        sinceMs < minOf(MAX_PEERS_SERVED_MS, (graceMs * MAX_PEERS_SERVED_SHARE).toLong()) -> ShutdownStage.CALLERS_NOTIFIED
        sinceMs > MIN_SHUTDOWN_MS && open == 0 -> ShutdownStage.DONE
        else -> ShutdownStage.PEERS_NOTIFIED
    }
