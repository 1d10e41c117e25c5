package wigeonreel.once

import com.google.common.hash.Hashing
import kotlinx.serialization.Serializable

/**
 * One version of the daemons that keep the execution records of a service.
 *
 * @param sinceMs time of the write that made this version, on the writer's clock.
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

/** Home set of a service: the current version last, before it those that may still have run a key. */
@Serializable
data class HomeSet(
    val service: String,
    val versions: List<HomeSetVersion>,
) {
    val current: HomeSetVersion get() = versions.last()

    /** Returns the set with [members] as its next version; versions that ended before [keepAfterMs] are dropped. */
    fun next(members: List<String>, nowMs: Long, keepAfterMs: Long): HomeSet {
        val kept = versions.filterIndexed { i, _ -> i == versions.lastIndex || versions[i + 1].sinceMs >= keepAfterMs }
        return HomeSet(service, kept + HomeSetVersion(current.version + 1, members.sorted(), nowMs))
    }

    /** Returns the homes that earlier versions name for [key] and that may have run it. */
    fun formerHomes(key: IdempotencyKey, policy: OncePolicy): Set<String> =
        versions
            .dropLast(1)
            .filterIndexed { i, _ -> versions[i + 1].sinceMs + policy.tenureMs + policy.clockMarginMs >= key.issuedAtMs }
            .mapNotNullTo(sortedSetOf()) { it.homeOf(key.text) }
}

/**
 * Time bounds of the at-most-once protocol, in milliseconds.
 *
 * @param windowMs age up to which keys are accepted and outcomes kept.
 * @param tenureMs time for which a home acts on a home set without proof that it is current.
 * @param clockMarginMs largest difference between two clocks, callers' included.
 */
data class OncePolicy(
    val windowMs: Long = 86_400_000,
    val tenureMs: Long = 7_200_000,
    val clockMarginMs: Long = 5_000,
)

private fun weightOf(member: String, key: String): Long = Hashing.murmur3_128().hashString("$member/$key", Charsets.UTF_8).asLong()
