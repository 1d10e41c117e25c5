package wigeonreel.limit

/** Daemons assumed while the fleet is not known; so many that a daemon which knows few takes little of a limit. */
const val UNKNOWN_FLEET: Int = 100

/**
 * Returns the number of daemons among which account limits are divided.
 *
 * Load pattern: all daemons are killed under a hot account, and each meets the others one by one. A view of two would
 * hold a whole pool each time; until the announcements were read, a daemon counts the fleet as large.
 */
fun dividingDaemons(known: Int, announcementsRead: Boolean): Int =
    if (announcementsRead) known.coerceAtLeast(1) else maxOf(known, UNKNOWN_FLEET)
