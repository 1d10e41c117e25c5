package wigeonreel.limit

/** Minimum share of the fleet with which a pool grants whole limits. */
const val MAJORITY: Double = 0.6

/** Factor on the share of a minority, so that all pools together grant at most 1.1 of a limit under any partition of the fleet. */
private const val MINORITY_FACTOR = 0.25

/**
 * Returns the share of each account limit that a pool grants.
 *
 * Load pattern: a third of the daemons is dead or partitioned, and the load of all accounts moves to the others. Dead
 * daemons can't be distinguished from daemons that still serve in another partition. A majority therefore grants the whole
 * limit and a minority only a small share.
 *
 * @param present share of the known daemons that request tokens from this pool.
 * @param settled whether the pool has had a majority for long enough that no other pool still counts its daemons.
 */
fun limitShare(present: Double, settled: Boolean): Double =
    when {
        present >= MAJORITY -> if (settled) 1.0 else present.coerceAtMost(1.0)
        present <= 1.0 - MAJORITY -> present * MINORITY_FACTOR
        else -> present
    }
