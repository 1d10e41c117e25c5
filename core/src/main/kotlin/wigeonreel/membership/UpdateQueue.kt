package wigeonreel.membership

/** Queue of member updates to gossip: each is sent a bounded number of times, those sent least often first. */
internal class UpdateQueue {
    private class Pending(
        val id: String,
        var sendCount: Int,
    )

    private val pending = HashMap<String, Pending>()

    /** Number of members with an update to send. */
    val size: Int get() = pending.size

    /** Queues an update of the member [id] and resets its send count. */
    fun add(id: String) {
        pending[id] = Pending(id, 0)
    }

    /** Returns up to [count] member ids to send now; each is removed from the queue after [maxSends] sends. */
    fun take(count: Int, maxSends: Int): List<String> {
        if (pending.isEmpty()) return emptyList()
        val selected = leastSent(count)
        selected.forEach { it.sendCount++ }
        selected.filter { it.sendCount >= maxSends }.forEach { pending.remove(it.id) }
        return selected.map { it.id }
    }

    private fun leastSent(count: Int) =
        if (pending.size <=
            count
        ) {
            pending.values.toList()
        } else {
            pending.values.sortedBy { it.sendCount }.take(count)
        }
}
