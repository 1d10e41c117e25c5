package wigeonreel.limit

/** Fleet size assumed until the announcements have been read; large, so that a daemon with a partial view grants a small share. */
const val ASSUMED_FLEET_SIZE: Int = 100

/**
 * Returns the fleet size by which account limits are divided.
 *
 * Load pattern: all daemons are killed while an account sends far more than its limit, restart, and discover each other one
 * by one. Each pair of daemons that see only each other would grant a whole limit, so a large fleet is assumed until the
 * announcements have been read.
 *
 * @param known number of daemons in this daemon's view.
 */
fun fleetSizeForLimits(known: Int, announcementsRead: Boolean): Int =
    if (announcementsRead) known.coerceAtLeast(1) else maxOf(known, ASSUMED_FLEET_SIZE)
