package wigeonreel.drain

/** Stages of a daemon that was told to stop while the backend server beside it runs on, in their order. */
enum class LeaveStage {
    /** Callers are told; peers may still send requests for the backend server. */
    CALLERS_TOLD,

    /** Peers are told too; what is open is finished. */
    PEERS_TOLD,

    /** Nothing is open, or the grace period is over. */
    DONE,
}

/** Longest time for which peers still send requests for the backend server, in milliseconds; the rest of the notice is for finishing them. */
private const val PEERS_SERVED_MS = 1_500L

/** Part of the grace period that this time may take. */
private const val PEERS_SERVED_SHARE = 0.25

/** Least time between the request to stop and the end, in milliseconds: callers ask for readiness each second and want two misses. */
private const val CALLERS_NOTICE_MS = 2_500L

/** Time before the end of the grace period at which the process stops by itself, in milliseconds. */
const val GRACE_MARGIN_MS: Long = 300

/**
 * Returns the stage of a daemon that was told to stop [sinceMs] ago and has [open] requests.
 *
 * Load pattern: daemons are restarted in turn, faster than one is back, and the deepest service has few servers. Its
 * slots stay in use while the callers of the VM find other entries, so fewer of them are missing at a time.
 */
fun leaveStage(sinceMs: Long, open: Int, graceMs: Long): LeaveStage =
    when {
        sinceMs >= graceMs - GRACE_MARGIN_MS -> LeaveStage.DONE
        sinceMs < minOf(PEERS_SERVED_MS, (graceMs * PEERS_SERVED_SHARE).toLong()) -> LeaveStage.CALLERS_TOLD
        sinceMs > CALLERS_NOTICE_MS && open == 0 -> LeaveStage.DONE
        else -> LeaveStage.PEERS_TOLD
    }
