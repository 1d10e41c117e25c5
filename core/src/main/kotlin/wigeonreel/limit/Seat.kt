package wigeonreel.limit

import kotlinx.serialization.Serializable

/**
 * Unit of limit ownership with at most one holder, stored in the configuration.
 *
 * The limit of an account is divided equally among the seats that the account is mapped to. Only the daemon incarnation
 * named here may lend from the seat. Another daemon may take the seat over when it is free, or when it has been orphaned
 * for the seat lease.
 *
 * @param holder id of the daemon that lends from this seat, or null when the seat is free.
 * @param incarnation incarnation of the holder.
 * @param sinceMs time of the last change of holder, by the writer's clock.
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
    /** Name of this seat in the configuration. */
    val name: String get() = "$region-$number"
}
