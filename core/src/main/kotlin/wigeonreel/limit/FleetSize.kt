package wigeonreel.limit

/** Fleet size assumed until the announcements were read; large, so that a daemon with a partial view takes little of a limit. */
const val ASSUMED_FLEET_SIZE: Int = 100

/**
 * Returns the fleet size by which account limits are divided.
 *
 * Load pattern: all daemons are killed under a hot account, restart, and discover each other one by one. Each view of two
 * daemons would hold a whole limit, so the fleet counts as large until the announcements were read.
 *
 * @param known number of daemons in this daemon's view.
 */
fun fleetSizeForLimits(known: Int, announcementsRead: Boolean): Int =
    if (announcementsRead) known.coerceAtLeast(1) else maxOf(known, ASSUMED_FLEET_SIZE)
