package wigeonreel.backend

/** Whether a backend server accepts new requests, as reported by the server. */
enum class BackendState { READY, DRAINING }

/**
 * Report of a backend server about itself.
 *
 * @param instance id of one start of the server; usually, but not always, unique.
 * @param slots number of requests that the server runs concurrently.
 * @param remainingWarmUpMs remaining time in milliseconds during which the server is slow after its start.
 * @param sequence sequence number of this report, or null if the server sends none.
 * @param startedAtMs start time in milliseconds on the server's clock, or null if the server sends none.
 */
data class BackendReport(
    val instance: String,
    val service: String,
    val host: String,
    val port: Int,
    val slots: Int,
    val state: BackendState,
    val remainingWarmUpMs: Long,
    val sequence: Long?,
    val startedAtMs: Long?,
)
