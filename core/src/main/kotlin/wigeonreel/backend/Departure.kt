package wigeonreel.backend

/**
 * Final departure of the server [instance], of all its starts up to the one at [lastStartedAtMs].
 *
 * @param lastStartedAtMs start time in milliseconds on the server's clock.
 */
data class Departure(
    val instance: String,
    val lastStartedAtMs: Long,
) {
    /** Returns whether the start of the server [instance] at [startedAtMs], null if it gives none, is one of those that have left. */
    fun covers(instance: String, startedAtMs: Long?): Boolean =
        instance == this.instance && (startedAtMs == null || startedAtMs <= lastStartedAtMs)
}
