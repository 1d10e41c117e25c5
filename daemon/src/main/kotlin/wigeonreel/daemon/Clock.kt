package wigeonreel.daemon

/** Source of the present time, read at the edges and passed to the decisions. */
fun interface Clock {
    /** Returns milliseconds since the epoch. */
    fun nowMs(): Long
}

/** The VM's clock. */
val SYSTEM_CLOCK: Clock = Clock { System.currentTimeMillis() }

/** Steady clock that starts at the time of day and is not moved by later steps of it. */
fun steadyClock(): Clock {
    val startedAtMs = System.currentTimeMillis()
    val startedNs = System.nanoTime()
    return Clock { startedAtMs + (System.nanoTime() - startedNs) / NS_PER_MS }
}

private const val NS_PER_MS = 1_000_000L
