package wigeonreel.soak

/**
 * Simulated network between numbered nodes that loses, delays, duplicates and reorders messages and can be partitioned.
 *
 * @param loss probability that a message is lost.
 * @param duplication probability that a message is delivered twice.
 */
class FakeNetwork(
    private val queue: EventQueue,
    private val loss: Double,
    private val duplication: Double,
) {
    private val blockedLinks = HashSet<Pair<Int, Int>>()

    /** Whether messages are lost, duplicated or delayed by up to 3 s; partitions apply in any case. */
    var faulty = true

    /** Blocks all links between [groupA] and [groupB] if [partitioned] is true, and reopens them otherwise. */
    fun setPartitioned(groupA: Iterable<Int>, groupB: Iterable<Int>, partitioned: Boolean) {
        for (a in groupA) for (b in groupB) listOf(a to b, b to a).forEach { if (partitioned) blockedLinks += it else blockedLinks -= it }
    }

    /** Schedules [deliver] for a message; it may run once, twice or never, depending on the faults. */
    fun send(from: Int, to: Int, deliver: () -> Unit) {
        if (from to to in blockedLinks) return
        if (faulty && queue.chance(loss)) return
        queue.after(delayMs(), deliver)
        if (faulty && queue.chance(duplication)) queue.after(delayMs(), deliver)
    }

    private fun delayMs(): Long =
        if (faulty &&
            queue.chance(SLOW_PROBABILITY)
        ) {
            queue.random.nextLong(MAX_SLOW_DELAY_MS)
        } else {
            queue.random.nextLong(MAX_NORMAL_DELAY_MS) + 1
        }

    private companion object {
        const val SLOW_PROBABILITY = 0.05
        const val MAX_SLOW_DELAY_MS = 3_000L
        const val MAX_NORMAL_DELAY_MS = 10L
    }
}
