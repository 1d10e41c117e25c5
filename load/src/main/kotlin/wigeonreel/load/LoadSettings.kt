package wigeonreel.load

import wigeonreel.http.HttpAddress

/** Client account that the load plays: its key, what it sends and the rate that it was granted, in requests a second. */
data class LoadAccount(
    val name: String,
    val key: String,
    val sentPerSecond: Double,
    val grantedPerSecond: Double,
)

/**
 * One run of the load.
 *
 * @param surge factor by which all accounts send more during the middle third of the run.
 * @param bookShare part of the requests that are non-idempotent.
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

/** Reads `name:key:sent-per-second:granted-per-second`; returns null when the text is not of that form. */
fun parseAccount(text: String): LoadAccount? {
    val parts = text.split(':')
    if (parts.size != ACCOUNT_PARTS) return null
    return LoadAccount(parts[0], parts[1], parts[2].toDoubleOrNull() ?: return null, parts[3].toDoubleOrNull() ?: return null)
}

/** Reads addresses separated by commas; returns null when one is no address. */
fun parseAddresses(text: String): List<HttpAddress>? {
    val addresses = text.split(',').filter { it.isNotBlank() }.map { HttpAddress.parse(it) }
    return if (addresses.any { it == null }) null else addresses.filterNotNull()
}

private const val ACCOUNT_PARTS = 4
