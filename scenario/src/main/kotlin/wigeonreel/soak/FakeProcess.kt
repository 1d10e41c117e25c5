package wigeonreel.soak

/**
 * Simulated process that can pause and can restart under a new incarnation.
 *
 * @param maxClockErrorMs bound of the clock error, which is chosen once at random, in either direction.
 */
abstract class FakeProcess(
    private val queue: EventQueue,
    maxClockErrorMs: Long,
) {
    private val clockErrorMs = queue.random.nextLong(-maxClockErrorMs, maxClockErrorMs + 1)

    /** Number of the current incarnation; each start increases it. */
    var incarnation = 0L
        protected set

    /** Virtual time at which the current pause ends. */
    var pausedUntilMs = 0L

    /** Returns the current time by this process's own clock, which includes its clock error. */
    fun clockMs() = queue.nowMs + clockErrorMs

    /** Runs [action] at once, or at the end of a pause; a restart during the pause drops the action. */
    fun whenResumed(action: () -> Unit) {
        val expectedIncarnation = incarnation
        if (pausedUntilMs <= queue.nowMs) {
            action()
        } else {
            queue.after(pausedUntilMs - queue.nowMs) { if (expectedIncarnation == incarnation) action() }
        }
    }
}
