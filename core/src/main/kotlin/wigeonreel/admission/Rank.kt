package wigeonreel.admission

import com.google.common.hash.Hashing
import wigeonreel.config.Worth

/**
 * Admission rank of a request: its worth class above a stable hash of its root id.
 *
 * The rank of a request tree is the same at every hop, so overload keeps or drops a tree whole.
 */
@JvmInline
value class Rank(
    val value: Int,
) : Comparable<Rank> {
    val worth: Worth get() = Worth.entries[value shr HASH_BITS]

    /** Place within the worth class, from 0 to [PLACES] − 1. */
    val place: Int get() = value and (PLACES - 1)

    override fun compareTo(other: Rank): Int = value.compareTo(other.value)

    companion object {
        private const val HASH_BITS = 12

        /** Places within a worth class. */
        const val PLACES = 1 shl HASH_BITS

        /** Returns the rank of the request tree [rootId] of the given [worth]. */
        fun of(worth: Worth, rootId: String): Rank {
            val hash = Hashing.murmur3_32_fixed().hashString(rootId, Charsets.UTF_8).asInt()
            return Rank((worth.ordinal shl HASH_BITS) or (hash and (PLACES - 1)))
        }
    }
}
