package wigeonreel.load

import kotlinx.serialization.Serializable

/** What one client account got. */
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
 * Result of one run.
 *
 * @param goodputPerSecond whole answers a second within the callers' patience.
 * @param recoveryMs time after the surge until whole answers are back at 95% of what is offered, or -1 when never.
 * @param worstServed smallest share of whole answers, against what its rate allowed, over the accounts.
 * @param wrongfulRefusals share of requests refused as over the rate although the account was within it.
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
