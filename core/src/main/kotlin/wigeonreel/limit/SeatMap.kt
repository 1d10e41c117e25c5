package wigeonreel.limit

import com.google.common.hash.Hashing
import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration

/** Seats of one account, and the share of its limit that each seat has. */
data class AccountSeats(
    val seats: List<Seat>,
    val share: Double,
)

/** Number of seats in each region. */
const val SEATS_PER_REGION: Int = 32

private const val MAX_SEATS_PER_ACCOUNT_AND_REGION = 4

/** Minimum burst of one seat's share, in requests, so that each share admits whole requests. */
private const val MIN_BURST_PER_SEAT = 4.0

/**
 * Returns the seats of [account], chosen by rendezvous hashing and spread round-robin over the regions.
 *
 * The number of seats is small enough that each share admits whole requests. The result depends on the configuration alone,
 * so all daemons with the same version compute the same seats.
 */
fun Configuration.seatsOf(account: AccountConfig): AccountSeats {
    val byRegion = seats.values.groupBy { it.region }.toSortedMap()
    if (byRegion.isEmpty()) return AccountSeats(emptyList(), 0.0)
    val seatCount = (account.burst / MIN_BURST_PER_SEAT).toInt().coerceIn(1, MAX_SEATS_PER_ACCOUNT_AND_REGION * byRegion.size)
    val ranked = byRegion.values.map { inRegion -> inRegion.sortedBy { seatWeight(it, account.name) } }
    val firstRegion = Math.floorMod(account.name.hashCode(), ranked.size)
    val chosen = (0 until seatCount).mapNotNull { i -> ranked[(firstRegion + i) % ranked.size].getOrNull(i / ranked.size) }
    return AccountSeats(chosen, 1.0 / chosen.size)
}

private fun seatWeight(seat: Seat, account: String) = Hashing.murmur3_128().hashString("${seat.number}/$account", Charsets.UTF_8).asLong()
