package wigeonreel.steward

import com.google.common.hash.Hashing
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState

/**
 * Decides whether a daemon watches the store for configuration changes or receives them from its peers.
 *
 * If every daemon watched, the calls to the store would grow with the fleet, and all daemons would read each change at the
 * same time. Instead, every daemon elects the same [WATCHERS_PER_DOMAIN] watchers of each failure domain from its
 * membership view, and gossip spreads the version that the watchers read. A daemon that receives no newer proof of a
 * current version for [PROOF_TIMEOUT_MS] watches the store itself.
 */
class WatcherElection(
    startedAtMs: Long,
) {
    private var newestProofMs = 0L
    private var proofAdvancedAtMs = startedAtMs

    /** Whether this daemon is an elected watcher of its failure domain. */
    var elected: Boolean = true
        private set

    /** Repeats the election after the members of the fleet have changed. */
    fun onMembers(self: Member, members: Collection<Member>) {
        val own = weightOf(self.id)
        elected = members.count { it.competesWith(self) && weightOf(it.id) < own } < WATCHERS_PER_DOMAIN
    }

    /**
     * Handles a proof that the version in force was the stored version at [provenAtMs].
     *
     * Only whether [provenAtMs] has advanced counts, because the clocks of daemons differ.
     */
    fun onProof(provenAtMs: Long, nowMs: Long) {
        if (provenAtMs <= newestProofMs) return
        newestProofMs = provenAtMs
        proofAdvancedAtMs = nowMs
    }

    /** Returns whether this daemon watches the store at [nowMs]. */
    fun shouldWatch(nowMs: Long): Boolean = elected || nowMs - proofAdvancedAtMs > PROOF_TIMEOUT_MS

    private fun Member.competesWith(self: Member) = id != self.id && place == self.place && state == MemberState.ALIVE

    private fun weightOf(id: String): Long = Hashing.murmur3_128().hashString("poller/$id", Charsets.UTF_8).asLong()

    private companion object {
        const val WATCHERS_PER_DOMAIN = 2

        /** Covers one watch call and the time that gossip needs to reach a region of thousands of daemons. */
        const val PROOF_TIMEOUT_MS = 8_000L
    }
}
