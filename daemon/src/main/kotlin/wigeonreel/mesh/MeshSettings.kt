package wigeonreel.mesh

import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpLimits
import wigeonreel.place.Place

/**
 * Checked settings of one mesh daemon.
 *
 * @param callers address for the callers and the backend server on this VM.
 * @param control address for the backend server's reports.
 * @param readiness address that tells whether callers may come.
 * @param peers address for other daemons, TCP and UDP.
 * @param metrics address of the metrics.
 * @param maxAnswerBytes longest answer of a backend server that is passed on.
 * @param graceMs time between the request to stop and the end of the process, in milliseconds.
 * @param repeatRatio repeated arrivals allowed for each request over the fleet.
 */
data class MeshSettings(
    val id: String,
    val place: Place,
    val callers: HttpAddress,
    val control: HttpAddress,
    val readiness: HttpAddress,
    val peers: HttpAddress,
    val metrics: HttpAddress,
    val http: HttpLimits,
    val maxAnswerBytes: Int,
    val graceMs: Long,
    val repeatRatio: Double,
)
