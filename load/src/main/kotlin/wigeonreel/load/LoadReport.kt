package wigeonreel.load

import kotlinx.serialization.Serializable

/**
 * Results of one client account.
 *
 * @param whole complete responses.
 * @param refused requests that were refused, failed or got no response, by kind.
 * @param wrongfulRefusals requests refused as over the rate although the account was within it.
 */
@Serializable
data class AccountReport(
    val account: String,
    val sent: Long,
    val whole: Long,
    val refused: Map<String, Long>,
    val wrongfulRefusals: Long,
    val grantedPerSecond: Double,
)

/**
 * Results of one load run.
 *
 * @param goodputPerSecond complete responses per second that arrive within the callers' timeout.
 * @param recoveryMs time from the end of the surge until complete responses reach 95% of the offered requests, or -1 if they never do.
 * @param worstServed minimum over the accounts of complete responses divided by the requests that the granted rate allowed.
 * @param wrongfulRefusals share of requests refused as over the rate although the account was within it.
 * @param foreignAnswers successful responses that were empty or carried the id of another request.
 * @param doubleRuns requests that a backend server executed again under the same idempotency key.
 * @param keysSeen requests that reached a backend server with the key of a client account.
 */
@Serializable
data class LoadReport(
    val seed: Int,
    val offeredPerSecond: Double,
    val goodputPerSecond: Double,
    val recoveryMs: Long,
    val worstServed: Double,
    val wrongfulRefusals: Double,
    val foreignAnswers: Long,
    val p50Ms: Double,
    val p99Ms: Double,
    val doubleRuns: Long,
    val keysSeen: Long,
    val accounts: List<AccountReport>,
)
