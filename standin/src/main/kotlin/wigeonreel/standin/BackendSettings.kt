package wigeonreel.standin

import wigeonreel.http.HttpAddress

/**
 * One backend server that the stand-in plays.
 *
 * @param daemonLocal local listener of the daemon beside it.
 * @param next service that it calls for each request, or null.
 * @param serviceMs time that one request takes, in milliseconds.
 */
data class BackendSettings(
    val service: String,
    val address: HttpAddress,
    val daemonLocal: HttpAddress,
    val slots: Int,
    val serviceMs: Long,
    val next: String?,
)

/** Reads `service,port,daemonLocalPort,slots,serviceMs[,next]`; returns null when the text is not of that form. */
fun parseBackend(text: String): BackendSettings? {
    val parts = text.split(',')
    val numbers = parts.drop(1).take(NUMBERS).map { it.toIntOrNull() ?: return null }
    if (numbers.size < NUMBERS) return null
    val (port, local, slots, serviceMs) = numbers
    return BackendSettings(parts[0], loopback(port), loopback(local), slots, serviceMs.toLong(), parts.getOrNull(NUMBERS + 1))
}

private const val NUMBERS = 4

private fun loopback(port: Int) = HttpAddress("127.0.0.1", port)
