package wigeonreel.admission

import com.google.common.hash.Hashing
import wigeonreel.config.Worth

/**
 * Admission rank of a request: its worth class in the high bits and a stable hash of its root id in the low bits.
 *
 * All requests of a request tree have the same rank at every hop, so an overloaded fleet admits or refuses a tree as a whole.
 */
@JvmInline
value class Rank(
    val value: Int,
) : Comparable<Rank> {
    val worth: Worth get() = Worth.entries[value shr HASH_BITS]

    /** Position within the worth class, from 0 to [POSITIONS] − 1. */
    val position: Int get() = value and (POSITIONS - 1)

    override fun compareTo(other: Rank): Int = value.compareTo(other.value)

    companion object {
        private const val HASH_BITS = 12

        /** Number of positions within a worth class. */
        const val POSITIONS = 1 shl HASH_BITS

        /** Returns the rank of the request tree with the given [rootId] and [worth]. */
        fun of(worth: Worth, rootId: String): Rank {
            val hash = Hashing.murmur3_32_fixed().hashString(rootId, Charsets.UTF_8).asInt()
            return Rank((worth.ordinal shl HASH_BITS) or (hash and (POSITIONS - 1)))
        }
    }
}
