package wigeonreel.standin

import wigeonreel.http.HttpAddress

/**
 * Settings of one simulated backend server.
 *
 * @param daemonAddress address of the local listener of the daemon on the server's VM.
 * @param slots requests that the server runs at the same time.
 * @param serviceMs duration of one request in milliseconds, without the call to the next service.
 * @param nextService service that the server calls for each request, or null.
 */
data class BackendSettings(
    val service: String,
    val address: HttpAddress,
    val daemonAddress: HttpAddress,
    val slots: Int,
    val serviceMs: Long,
    val nextService: String?,
)

/** Parses `service,port,daemonLocalPort,slots,serviceMs[,next]`. Returns null if the text does not have that form. */
fun parseBackend(text: String): BackendSettings? {
    val parts = text.split(',')
    val numbers = parts.drop(1).take(NUMERIC_FIELDS).map { it.toIntOrNull() ?: return null }
    if (numbers.size < NUMERIC_FIELDS) return null
    val (port, daemonPort, slots, serviceMs) = numbers
    return BackendSettings(parts[0], loopback(port), loopback(daemonPort), slots, serviceMs.toLong(), parts.getOrNull(NUMERIC_FIELDS + 1))
}

private const val NUMERIC_FIELDS = 4

private fun loopback(port: Int) = HttpAddress("127.0.0.1", port)
