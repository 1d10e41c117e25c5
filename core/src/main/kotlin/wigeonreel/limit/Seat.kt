package wigeonreel.limit

import kotlinx.serialization.Serializable

/**
 * Place for one holder of shares, kept in the configuration.
 *
 * A seat holds the same part of the limit of each account that is mapped to it. Only the daemon incarnation named here
 * may lend from it. It passes to another daemon when it is free, or when it has been orphaned for the tenure.
 *
 * @param holder daemon that lends from this seat, or null when the seat is free.
 * @param incarnation incarnation of the holder.
 * @param sinceMs time of the last change of holder, on the writer's clock.
 * @param orphanedAtMs time at which the holder was found dead, or null; a holder that reads this stops lending.
 */
@Serializable
data class Seat(
    val region: String,
    val number: Int,
    val holder: String? = null,
    val incarnation: Long = 0,
    val sinceMs: Long = 0,
    val orphanedAtMs: Long? = null,
) {
    /** Name under which the configuration keeps this seat. */
    val name: String get() = "$region-$number"
}
