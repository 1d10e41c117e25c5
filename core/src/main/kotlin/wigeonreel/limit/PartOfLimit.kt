package wigeonreel.limit

/** Part of the fleet from which a pool holds whole limits. */
const val MAJORITY: Double = 0.6

/** What a minority holds of its part, so that all pools together hold at most 1.1 of a limit, however the fleet is cut. */
private const val MINORITY_FACTOR = 0.25

/**
 * Returns the part of each account limit that a pool holds which the share [present] of the known daemons asks.
 *
 * Load pattern: a third of the daemons is dead or cut off while the callers of all accounts press on the others. Dead
 * daemons can't be told from ones that serve on elsewhere, so the large side takes the whole limit and a small side
 * makes do with little.
 *
 * @param settled whether it has been the large side for so long that no other pool counts its daemons any more.
 */
fun partOfLimit(present: Double, settled: Boolean): Double =
    when {
        present >= MAJORITY -> if (settled) 1.0 else present.coerceAtMost(1.0)
        present <= 1.0 - MAJORITY -> present * MINORITY_FACTOR
        else -> present
    }
