package wigeonreel.soak

/** Process of a soak: it restarts under a new incarnation, pauses, and has a clock that is off by up to [clockErrorBoundMs]. */
abstract class FakeProcess(
    private val queue: EventQueue,
    clockErrorBoundMs: Long,
) {
    private val clockErrorMs = queue.random.nextLong(-clockErrorBoundMs, clockErrorBoundMs + 1)

    /** Raised at each start. */
    var incarnation = 0L
        protected set

    /** End of the pause, in virtual time. */
    var pausedUntilMs = 0L

    /** Returns the present time on this process's clock. */
    fun clockMs() = queue.nowMs + clockErrorMs

    /** Does [action] now, or when the pause is over, unless the process was replaced meanwhile. */
    fun awake(action: () -> Unit) {
        val live = incarnation
        if (pausedUntilMs <= queue.nowMs) action() else queue.after(pausedUntilMs - queue.nowMs) { if (live == incarnation) action() }
    }
}
