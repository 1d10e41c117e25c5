package wigeonreel.admission

import wigeonreel.config.Worth

/** Worth class and client account whose requests share one admission threshold. */
data class Stream(
    val worth: Worth,
    val account: String,
)

/**
 * Minimum position within the worth class that a guard admits for one [Stream].
 *
 * 0 admits all requests, [Rank.POSITIONS] admits none.
 */
@JvmInline
value class AdmissionThreshold(
    val minPosition: Int,
) {
    /** Returns whether a request of this stream with the given [rank] is admitted. */
    fun admits(rank: Rank): Boolean = rank.position >= minPosition

    companion object {
        /** Threshold that admits all requests. */
        val NONE = AdmissionThreshold(0)

        /** Returns the threshold that admits the given [fraction] of requests, from 0 to 1. */
        fun admitting(fraction: Double): AdmissionThreshold =
            AdmissionThreshold(((1.0 - fraction.coerceIn(0.0, 1.0)) * Rank.POSITIONS).toInt())
    }
}
