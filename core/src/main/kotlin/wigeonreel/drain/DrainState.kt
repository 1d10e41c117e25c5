package wigeonreel.drain

/** Stages of a leaving daemon. */
sealed interface DrainState {
    /** New work is taken. */
    data object Serving : DrainState

    /** No new work is taken; work in flight is finished until [endsAtMs]. */
    data class Draining(
        val startedAtMs: Long,
        val endsAtMs: Long,
    ) : DrainState

    /** Nothing is in flight, or the time for it is over. */
    data object Drained : DrainState
}

/** Time for which a leaving daemon keeps its listeners open so that others learn that it leaves, in milliseconds. */
const val LEAVE_NOTICE_MS: Long = 1_000

/** Returns the stage after a look at [inFlight] requests at [nowMs]. */
fun DrainState.advance(inFlight: Int, nowMs: Long): DrainState =
    when (this) {
        DrainState.Serving, DrainState.Drained -> this
        is DrainState.Draining -> if (endsAtMs <= nowMs || finished(inFlight, nowMs)) DrainState.Drained else this
    }

private fun DrainState.Draining.finished(inFlight: Int, nowMs: Long) = inFlight == 0 && startedAtMs + LEAVE_NOTICE_MS <= nowMs
