package wigeonreel.soak

/** Network between numbered nodes: loses, delays, doubles and reorders messages, and can be cut. */
class FakeNetwork(
    private val queue: EventQueue,
    private val loss: Double,
    private val doubling: Double,
) {
    private val cuts = HashSet<Pair<Int, Int>>()

    /** Whether messages are lost, doubled or delayed long. */
    var faulty = true

    /** Cuts or joins the nodes of [left] and those of [right]. */
    fun setCut(left: Iterable<Int>, right: Iterable<Int>, cut: Boolean) {
        for (a in left) for (b in right) listOf(a to b, b to a).forEach { if (cut) cuts += it else cuts -= it }
    }

    /** Delivers a message, perhaps. */
    fun send(from: Int, to: Int, deliver: () -> Unit) {
        if (from to to in cuts) return
        if (faulty && queue.chance(loss)) return
        queue.after(delayMs(), deliver)
        if (faulty && queue.chance(doubling)) queue.after(delayMs(), deliver)
    }

    private fun delayMs(): Long =
        if (faulty &&
            queue.chance(SLOW_SHARE)
        ) {
            queue.random.nextLong(SLOW_MS)
        } else {
            queue.random.nextLong(USUAL_MS) + 1
        }

    private companion object {
        const val SLOW_SHARE = 0.05
        const val SLOW_MS = 3_000L
        const val USUAL_MS = 10L
    }
}
