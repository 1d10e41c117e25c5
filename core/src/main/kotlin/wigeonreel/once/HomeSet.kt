package wigeonreel.once

import com.google.common.hash.Hashing
import kotlinx.serialization.Serializable

/**
 * One version of the set of daemons that keep the execution records of a service.
 *
 * @param sinceMs time at which this version was written, on the writer's clock.
 */
@Serializable
data class HomeSetVersion(
    val version: Long,
    val members: List<String>,
    val sinceMs: Long,
) {
    /** Returns the home of [key] by rendezvous hashing, or null when the set is empty. */
    fun homeOf(key: String): String? = members.maxByOrNull { weightOf(it, key) }
}

/** Home set of a service: the earlier versions that may have run a key, followed by the current version. */
@Serializable
data class HomeSet(
    val service: String,
    val versions: List<HomeSetVersion>,
) {
    val current: HomeSetVersion get() = versions.last()

    /** Returns the home set with [members] as its next version and without versions replaced before [keepAfterMs]. */
    fun next(members: List<String>, nowMs: Long, keepAfterMs: Long): HomeSet {
        val kept = versions.filterIndexed { i, _ -> i == versions.lastIndex || versions[i + 1].sinceMs >= keepAfterMs }
        return HomeSet(service, kept + HomeSetVersion(current.version + 1, members.sorted(), nowMs))
    }

    /** Returns the homes of [key] in earlier versions that may have run it. */
    fun formerHomes(key: IdempotencyKey, policy: OncePolicy): Set<String> =
        versions
            .dropLast(1)
            .filterIndexed { i, _ -> versions[i + 1].sinceMs + policy.homeSetLeaseMs + policy.maxClockSkewMs >= key.issuedAtMs }
            .mapNotNullTo(sortedSetOf()) { it.homeOf(key.text) }
}

/**
 * Time bounds of the at-most-once protocol, in milliseconds.
 *
 * @param windowMs maximum age at which a key is accepted and its outcome is kept.
 * @param homeSetLeaseMs time for which a home may act on a home set after it was last proven current.
 * @param maxClockSkewMs maximum difference between two clocks, including those of callers.
 */
data class OncePolicy(
    val windowMs: Long = 86_400_000,
    val homeSetLeaseMs: Long = 7_200_000,
    val maxClockSkewMs: Long = 5_000,
)

private fun weightOf(member: String, key: String): Long = Hashing.murmur3_128().hashString("$member/$key", Charsets.UTF_8).asLong()
