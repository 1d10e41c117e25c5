package wigeonreel.membership

import com.google.common.hash.Hashing

/** All members that one daemon knows, with digests by which two views are compared. */
class MemberView {
    private val byId = HashMap<String, Member>()
    private val digests = LongArray(BUCKETS)

    /** Members in no particular order. */
    val members: Collection<Member> get() = byId.values

    /** Number of members, dead ones included. */
    val size: Int get() = byId.size

    /** Hash over the whole view. */
    val digest: Long get() = digests.fold(0L) { sum, digest -> sum * DIGEST_FACTOR + digest }

    /** One hash for each part of the view. */
    val bucketDigests: List<Long> get() = digests.toList()

    /** Returns the member [id], or null. */
    operator fun get(id: String): Member? = byId[id]

    /** Puts [member] in place of what was known of it. */
    fun put(member: Member) {
        val old = byId.put(member.id, member)
        val bucket = bucketOf(member.id)
        if (old != null) digests[bucket] = digests[bucket] xor digestOf(old)
        digests[bucket] = digests[bucket] xor digestOf(member)
    }

    /** Forgets the member [id]. */
    fun remove(id: String) {
        val old = byId.remove(id) ?: return
        val bucket = bucketOf(id)
        digests[bucket] = digests[bucket] xor digestOf(old)
    }

    /** Returns the members of the parts in which [theirDigests] differ from this view. */
    fun differing(theirDigests: List<Long>): List<Member> {
        if (theirDigests.size != BUCKETS) return emptyList()
        val differs = BooleanArray(BUCKETS) { theirDigests[it] != digests[it] }
        return byId.values.filter { differs[bucketOf(it.id)] }
    }

    private fun bucketOf(id: String) = Math.floorMod(id.hashCode() * HASH_SPREAD, BUCKETS)

    /** Suspicions come and go, and departed members are forgotten at different times, so neither counts. */
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
        const val HASH_SPREAD = -0x61c88647
    }
}
