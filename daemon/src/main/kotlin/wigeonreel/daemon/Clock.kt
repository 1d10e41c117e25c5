package wigeonreel.daemon

/** Source of the present time, read at the edges and passed to the decisions. */
fun interface Clock {
    /** Returns milliseconds since the epoch. */
    fun nowMs(): Long
}

/** The VM's clock. */
val SYSTEM_CLOCK: Clock = Clock { System.currentTimeMillis() }
