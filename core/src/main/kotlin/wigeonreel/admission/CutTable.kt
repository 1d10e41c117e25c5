package wigeonreel.admission

/** Stream of requests to one service. */
data class ServiceStream(
    val service: String,
    val stream: Stream,
)

/**
 * Cuts learned from replies at an ingress, by which it refuses requests that a deeper guard would refuse.
 *
 * A cut is believed for a short time only, and a small part of the requests below it is let through, so that the
 * ingress notices when the overload has passed.
 */
class CutTable {
    private class Learned(
        val cut: Cut,
        val untilMs: Long,
    )

    private val learned =
        object : LinkedHashMap<ServiceStream, Learned>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<ServiceStream, Learned>) = size > MAX_STREAMS
        }

    /** Takes a cut that came with a reply at [nowMs]. */
    fun learn(stream: ServiceStream, cut: Cut, nowMs: Long) {
        if (cut == Cut.NONE) learned.remove(stream) else learned[stream] = Learned(cut, nowMs + BELIEVED_MS)
    }

    /** Returns whether a request at [rank] goes on to the service. */
    fun admits(stream: ServiceStream, rank: Rank, nowMs: Long): Boolean {
        val entry = learned[stream] ?: return true
        if (entry.untilMs > nowMs) return entry.cut.admits(rank)
        learned.remove(stream)
        return true
    }

    private companion object {
        const val BELIEVED_MS = 200L
        const val MAX_STREAMS = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
