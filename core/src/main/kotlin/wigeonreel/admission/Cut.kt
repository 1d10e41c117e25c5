package wigeonreel.admission

import wigeonreel.config.Worth

/** Worth class and client account whose requests share one cut. */
data class Stream(
    val worth: Worth,
    val account: String,
)

/**
 * Lowest place in the worth class that a guard admits for one [Stream].
 *
 * 0 admits all, [Rank.PLACES] admits none.
 */
@JvmInline
value class Cut(
    val place: Int,
) {
    /** Returns whether a request of this stream at [rank] is admitted. */
    fun admits(rank: Rank): Boolean = rank.place >= place

    companion object {
        /** Admits all. */
        val NONE = Cut(0)

        /** Returns the cut that admits the given [fraction] of requests. */
        fun admitting(fraction: Double): Cut = Cut(((1.0 - fraction.coerceIn(0.0, 1.0)) * Rank.PLACES).toInt())
    }
}
