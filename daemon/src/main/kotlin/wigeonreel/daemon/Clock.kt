package wigeonreel.daemon

/** Source of the current time; services read it and pass the time to the decision logic as a parameter. */
fun interface Clock {
    /** Returns the current time in milliseconds since the epoch. */
    fun nowMs(): Long
}

/** System clock of the VM; it can jump when the system time is adjusted. */
val SYSTEM_CLOCK: Clock = Clock { System.currentTimeMillis() }

/** Returns a monotonic clock that starts at the current system time and ignores later adjustments of it. */
fun monotonicClock(): Clock {
    val startedAtMs = System.currentTimeMillis()
    val startedNs = System.nanoTime()
    return Clock { startedAtMs + (System.nanoTime() - startedNs) / NS_PER_MS }
}

private const val NS_PER_MS = 1_000_000L
