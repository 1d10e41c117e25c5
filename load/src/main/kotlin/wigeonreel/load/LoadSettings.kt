package wigeonreel.load

import wigeonreel.http.HttpAddress

/** Simulated client account: its key, the rate at which it sends and the rate that it was granted, both in requests per second. */
data class LoadAccount(
    val name: String,
    val key: String,
    val sentPerSecond: Double,
    val grantedPerSecond: Double,
)

/**
 * Settings of one load run.
 *
 * @param surge factor on the send rates of all accounts during the middle third of the run.
 * @param timeoutMs timeout of the callers, in milliseconds.
 * @param bookShare share of the requests that are non-idempotent, from 0 to 1.
 */
data class LoadSettings(
    val targets: List<HttpAddress>,
    val accounts: List<LoadAccount>,
    val service: String,
    val seconds: Int,
    val timeoutMs: Long,
    val surge: Double,
    val bookShare: Double,
    val seed: Int,
)

/** Parses `name:key:sent-per-second:granted-per-second`. Returns null if the text does not have that form. */
fun parseAccount(text: String): LoadAccount? {
    val parts = text.split(':')
    if (parts.size != ACCOUNT_FIELDS) return null
    return LoadAccount(parts[0], parts[1], parts[2].toDoubleOrNull() ?: return null, parts[3].toDoubleOrNull() ?: return null)
}

/** Parses addresses separated by commas. Returns null if one of them is not an address. */
fun parseAddresses(text: String): List<HttpAddress>? {
    val addresses = text.split(',').filter { it.isNotBlank() }.map { HttpAddress.parse(it) }
    return if (addresses.any { it == null }) null else addresses.filterNotNull()
}

private const val ACCOUNT_FIELDS = 4
