package wigeonreel.drain

/** States of a daemon during graceful shutdown. */
sealed interface DrainState {
    /** The daemon accepts new requests. */
    data object Serving : DrainState

    /** The daemon accepts no new requests and finishes those in flight until [endsAtMs]. */
    data class Draining(
        val startedAtMs: Long,
        val endsAtMs: Long,
    ) : DrainState

    /** No request is in flight, or the time to finish them is over. */
    data object Drained : DrainState
}

/** Minimum time for which a draining daemon keeps its listeners open while other daemons are notified, in milliseconds. */
const val LEAVE_NOTICE_MS: Long = 1_000

/** Returns the next state for [inFlight] requests at [nowMs]. */
fun DrainState.advance(inFlight: Int, nowMs: Long): DrainState =
    when (this) {
        DrainState.Serving, DrainState.Drained -> this
        is DrainState.Draining -> if (endsAtMs <= nowMs || finished(inFlight, nowMs)) DrainState.Drained else this
    }

private fun DrainState.Draining.finished(inFlight: Int, nowMs: Long) = inFlight == 0 && startedAtMs + LEAVE_NOTICE_MS <= nowMs
