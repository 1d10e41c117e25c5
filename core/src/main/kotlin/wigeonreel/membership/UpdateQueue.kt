package wigeonreel.membership

/** News about members, each sent a bounded number of times, the least sent first. */
internal class UpdateQueue {
    private class Pending(
        val id: String,
        var sent: Int,
    )

    private val pending = HashMap<String, Pending>()

    /** Number of members with news to send. */
    val size: Int get() = pending.size

    /** Queues news about the member [id]. */
    fun add(id: String) {
        pending[id] = Pending(id, 0)
    }

    /** Returns up to [count] ids to send now; each is dropped after [maxSends] sends. */
    fun take(count: Int, maxSends: Int): List<String> {
        if (pending.isEmpty()) return emptyList()
        val chosen = leastSent(count)
        chosen.forEach { it.sent++ }
        chosen.filter { it.sent >= maxSends }.forEach { pending.remove(it.id) }
        return chosen.map { it.id }
    }

    private fun leastSent(count: Int) =
        if (pending.size <=
            count
        ) {
            pending.values.toList()
        } else {
            pending.values.sortedBy { it.sent }.take(count)
        }
}
