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

/**
 * Times of a graceful shutdown, in milliseconds since the request to stop.
 *
 * The request to stop may be noticed late by a busy VM. All times leave room for that, in proportion to the grace period.
 *
 * @param graceMs time after the request to stop at which the platform ends the process, in milliseconds.
 */
data class ShutdownSchedule(
    val graceMs: Long,
) {
    /** End of the time in which peers may still send requests; the rest of [MIN_SHUTDOWN_MS] is for finishing them. */
    val peersServedUntilMs: Long = minOf(MAX_PEERS_SERVED_MS, share(PEERS_SERVED_SHARE))

    /** End of the time in which requests are accepted whatever their timeouts. */
    val acceptsAnyUntilMs: Long = minOf(MAX_ACCEPTS_ANY_MS, share(ACCEPTS_ANY_SHARE))

    /** Time at which requests that are still open are ended. Not earlier: until the last sixth, servers may finish their work. */
    val requestsEndAtMs: Long = graceMs - minOf(MAX_MARGIN_MS, share(MARGIN_SHARE))

    /** Time until which the responses of these requests may be written. */
    val responsesEndAtMs: Long = requestsEndAtMs + minOf(MAX_LAST_RESPONSES_MS, share(LAST_RESPONSES_SHARE))

    private fun share(share: Double) = (graceMs * share).toLong()

    /**
     * Returns whether a request that arrives after [sinceMs] and may last [timeoutMs] milliseconds is accepted.
     *
     * Load pattern: callers that ignore the readiness of the daemon keep sending requests until its process has ended. A request that
     * may outlast the process is refused while it is still true that it was not run.
     */
    fun accepts(sinceMs: Long, timeoutMs: Long): Boolean = sinceMs <= acceptsAnyUntilMs || sinceMs + timeoutMs <= requestsEndAtMs

    /**
     * Returns the stage after [sinceMs] with [open] requests.
     *
     * Load pattern: daemons are restarted in turn, each before the previous one is back, and the deepest service has few
     * servers. Its slots stay in use while the callers of the VM switch to other entries, so fewer slots are missing at a time.
     */
    fun stage(sinceMs: Long, open: Int): ShutdownStage =
        when {
            sinceMs >= requestsEndAtMs -> ShutdownStage.DONE
            sinceMs < peersServedUntilMs -> ShutdownStage.CALLERS_NOTIFIED
            sinceMs > MIN_SHUTDOWN_MS && open == 0 -> ShutdownStage.DONE
            else -> ShutdownStage.PEERS_NOTIFIED
        }

    private companion object {
        const val MAX_PEERS_SERVED_MS = 1_500L
        const val PEERS_SERVED_SHARE = 0.25

        /** Minimum duration of a shutdown; callers check readiness each second and need two failed checks to leave. */
        const val MIN_SHUTDOWN_MS = 2_500L

        /** A request sent later than 3 s after the request to stop must be answered or refused in time; half a second is for noticing it late. */
        const val MAX_ACCEPTS_ANY_MS = 2_500L
        const val ACCEPTS_ANY_SHARE = 0.5

        /** The process ends within the last sixth of the grace period, most of which is for noticing the request late and for stopping. */
        const val MAX_MARGIN_MS = 900L
        const val MARGIN_SHARE = 0.15
        const val MAX_LAST_RESPONSES_MS = 100L
        const val LAST_RESPONSES_SHARE = 1.0 / 60
    }
}
