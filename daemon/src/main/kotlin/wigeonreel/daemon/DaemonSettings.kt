package wigeonreel.daemon

import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpLimits
import wigeonreel.http.address
import wigeonreel.place.Place
import wigeonreel.settings.SettingsReader

/** Host and ports on which a daemon listens. */
data class ListenSettings(
    val host: String,
    val callerPort: Int,
    val localPort: Int,
    val peerPort: Int,
    val adminPort: Int,
)

/** Address of the platform's table service and timeout of requests to it, in milliseconds. */
data class PlatformSettings(
    val tableAddress: HttpAddress,
    val timeoutMs: Long,
)

/** Request defaults and drain timeout; times in milliseconds. */
data class TrafficSettings(
    val defaultTimeoutMs: Long,
    val retryBudget: Int,
    val drainTimeoutMs: Long,
)

/** Validated settings of one daemon. */
data class DaemonSettings(
    val id: String,
    val place: Place,
    val listen: ListenSettings,
    val platform: PlatformSettings,
    val traffic: TrafficSettings,
    val http: HttpLimits,
    val logDecisions: Boolean,
)

private val TIMEOUT_RANGE_MS = 1L..600_000L
private val RETRY_RANGE = 0L..16L
private val BODY_RANGE_BYTES = 1_024L..67_108_864L
private val HEADER_RANGE_BYTES = 1_024L..1_048_576L
private val PLATFORM_TIMEOUT_RANGE_MS = 10L..60_000L

/** Reads the settings of a daemon and records an error for each missing or invalid one. */
fun SettingsReader.daemonSettings(): DaemonSettings {
    val listen = listenSettings()
    return DaemonSettings(
        id = idOf(text("id", default = "${listen.host}:${listen.peerPort}")),
        place = Place(text("place.region"), text("place.failure_domain")),
        listen = listen,
        platform = PlatformSettings(address("platform.table_address"), integer("platform.timeout_ms", PLATFORM_TIMEOUT_RANGE_MS, 1_000)),
        traffic = trafficSettings(),
        http =
            HttpLimits(
                maxBodyBytes = integer("limits.max_body_bytes", BODY_RANGE_BYTES, 4_194_304).toInt(),
                maxHeaderBytes = integer("limits.max_header_bytes", HEADER_RANGE_BYTES, 16_384).toInt(),
            ),
        logDecisions = flag("log.decisions", default = true),
    )
}

private fun SettingsReader.listenSettings() =
    ListenSettings(
        host = text("listen.host", expected = "the IP address of this VM"),
        callerPort = port("listen.caller_port"),
        localPort = port("listen.local_port"),
        peerPort = port("listen.peer_port"),
        adminPort = port("listen.admin_port"),
    )

private fun SettingsReader.trafficSettings() =
    TrafficSettings(
        defaultTimeoutMs = integer("traffic.default_timeout_ms", TIMEOUT_RANGE_MS, 5_000),
        retryBudget = integer("traffic.retry_budget", RETRY_RANGE, 3).toInt(),
        drainTimeoutMs = integer("traffic.drain_timeout_ms", TIMEOUT_RANGE_MS, 30_000),
    )

private fun SettingsReader.idOf(id: String): String {
    if (id.isEmpty() || id.any { it == '~' || it == '/' || it.isWhitespace() }) reject("id", "a name without '~', '/' and spaces")
    return id
}
