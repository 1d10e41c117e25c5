package wigeonreel.membership

import com.google.common.hash.Hashing

/** View of the fleet of one daemon, with digests to compare two views. */
class MemberView {
    private val byId = HashMap<String, Member>()
    private val digests = LongArray(BUCKETS)

    /** Members in no particular order. */
    val members: Collection<Member> get() = byId.values

    /** Number of members, including dead ones. */
    val size: Int get() = byId.size

    /** Hash of the whole view. */
    val digest: Long get() = digests.fold(0L) { sum, digest -> sum * DIGEST_FACTOR + digest }

    /** Hash of each bucket of the view. */
    val bucketDigests: List<Long> get() = digests.toList()

    /** Returns the member [id], or null if it is unknown. */
    operator fun get(id: String): Member? = byId[id]

    /** Adds [member], or replaces the member with the same id. */
    fun put(member: Member) {
        val old = byId.put(member.id, member)
        val bucket = bucketOf(member.id)
        if (old != null) digests[bucket] = digests[bucket] xor digestOf(old)
        digests[bucket] = digests[bucket] xor digestOf(member)
    }

    /** Removes the member [id]. */
    fun remove(id: String) {
        val old = byId.remove(id) ?: return
        val bucket = bucketOf(id)
        digests[bucket] = digests[bucket] xor digestOf(old)
    }

    /** Returns the members of this view in the buckets whose digests differ from [remoteDigests]. */
    fun membersInDifferingBuckets(remoteDigests: List<Long>): List<Member> {
        if (remoteDigests.size != BUCKETS) return emptyList()
        val differs = BooleanArray(BUCKETS) { remoteDigests[it] != digests[it] }
        return byId.values.filter { differs[bucketOf(it.id)] }
    }

    private fun bucketOf(id: String) = Math.floorMod(id.hashCode() * HASH_MULTIPLIER, BUCKETS)

    /** Leaves out suspicions, which are short-lived, and dead or departed members, which daemons remove at different times. */
    private fun digestOf(member: Member): Long =
        when (member.state) {
            MemberState.ALIVE, MemberState.SUSPECT -> hashOf(member, "live")
            MemberState.LEAVING -> hashOf(member, "leaving")
            MemberState.DEAD, MemberState.LEFT -> 0L
        }

    private fun hashOf(member: Member, state: String) =
        Hashing.murmur3_128().hashString("${member.id}/${member.incarnation}/${member.revision}/$state", Charsets.UTF_8).asLong()

    private companion object {
        const val BUCKETS = 64
        const val DIGEST_FACTOR = 31L
        const val HASH_MULTIPLIER = -0x61c88647
    }
}
