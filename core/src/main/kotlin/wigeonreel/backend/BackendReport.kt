package wigeonreel.backend

/** What a backend server says that it does with new requests. */
enum class BackendState { READY, DRAINING }

/**
 * What a backend server says of itself.
 *
 * @param instance identity of one start of the server, mostly unique.
 * @param slots requests that it runs at a time.
 * @param coldMs time for which it stays slow after its start.
 * @param sequence number of this report, or null when the server gives none.
 * @param startedAtMs time of the server's start on its own clock, or null when the server gives none.
 */
data class BackendReport(
    val instance: String,
    val service: String,
    val host: String,
    val port: Int,
    val slots: Int,
    val state: BackendState,
    val coldMs: Long,
    val sequence: Long?,
    val startedAtMs: Long?,
)
