package wigeonreel.steward

import com.google.common.hash.Hashing
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState

/**
 * Decides whether a daemon watches the store for changes of the configuration or learns of them from its peers.
 *
 * Load pattern: with a watch for each daemon the calls to the store grow with the fleet, and each change is read by all
 * daemons at once. A few daemons of each failure domain watch, chosen alike by all from the membership view; the version
 * that they see travels with the gossip. When no proof of a current version comes along for some time, every daemon
 * that misses it watches by itself.
 */
class WatchDuty(
    startedAtMs: Long,
) {
    private var newestProofMs = 0L
    private var advancedAtMs = startedAtMs

    /** Whether this daemon is among those that watch for its failure domain. */
    var chosen: Boolean = true
        private set

    /** Takes a changed view of the fleet into account. */
    fun onMembers(self: Member, members: Collection<Member>) {
        val own = weightOf(self.id)
        chosen = members.count { it.mayWatchFor(self) && weightOf(it.id) < own } < WATCHERS_PER_DOMAIN
    }

    /**
     * Takes the time at which the version in force was last known to be the stored one.
     *
     * Clocks of daemons differ, so only whether that time moved on counts.
     */
    fun onProof(provenAtMs: Long, nowMs: Long) {
        if (provenAtMs <= newestProofMs) return
        newestProofMs = provenAtMs
        advancedAtMs = nowMs
    }

    /** Returns whether this daemon watches the store now. */
    fun isDue(nowMs: Long): Boolean = chosen || nowMs - advancedAtMs > UNPROVEN_MS

    private fun Member.mayWatchFor(self: Member) = id != self.id && place == self.place && state == MemberState.ALIVE

    private fun weightOf(id: String): Long = Hashing.murmur3_128().hashString("poller/$id", Charsets.UTF_8).asLong()

    private companion object {
        const val WATCHERS_PER_DOMAIN = 2

        /** Time without a newer proof: one watch and the time in which gossip reaches a region of thousands. */
        const val UNPROVEN_MS = 8_000L
    }
}
