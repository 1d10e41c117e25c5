package wigeonreel.admission

/** Requests of one [stream] to one service. */
data class ServiceStream(
    val service: String,
    val stream: Stream,
)

/**
 * Admission thresholds carried on replies, by which an ingress refuses requests that a downstream guard would refuse.
 *
 * A threshold expires after a short time, so that the next requests show whether the overload has passed.
 */
class ThresholdTable {
    private class Learned(
        val threshold: AdmissionThreshold,
        val expiresAtMs: Long,
    )

    private val learned =
        object : LinkedHashMap<ServiceStream, Learned>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<ServiceStream, Learned>) = size > MAX_STREAMS
        }

    /** Stores the [threshold] of a reply that arrived at [nowMs]; [AdmissionThreshold.NONE] removes the stored one. */
    fun learn(stream: ServiceStream, threshold: AdmissionThreshold, nowMs: Long) {
        if (threshold == AdmissionThreshold.NONE) learned.remove(stream) else learned[stream] = Learned(threshold, nowMs + VALID_MS)
    }

    /** Returns whether a request with the given [rank] is sent on to the service. */
    fun admits(stream: ServiceStream, rank: Rank, nowMs: Long): Boolean {
        val entry = learned[stream] ?: return true
        if (entry.expiresAtMs > nowMs) return entry.threshold.admits(rank)
        learned.remove(stream)
        return true
    }

    private companion object {
        const val VALID_MS = 200L
        const val MAX_STREAMS = 4_096
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
