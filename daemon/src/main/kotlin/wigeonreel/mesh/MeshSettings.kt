package wigeonreel.mesh

import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpLimits
import wigeonreel.place.Place

/**
 * Validated settings of one mesh daemon.
 *
 * @param callers address for the callers and the backend server on this VM.
 * @param control address for the backend server's reports.
 * @param readiness address of the readiness probe for callers.
 * @param peers address for other daemons, over TCP and UDP.
 * @param metrics address of the metrics endpoint.
 * @param maxAnswerBytes maximum size of a backend server's response that is relayed.
 * @param graceMs grace period between the request to stop and the end of the process, in milliseconds.
 * @param drainMs time after the acknowledgement that the backend server leaves in which it may still receive requests, in milliseconds.
 * @param keysValidWithoutContactMs time without contact to the store or a peer after which keys are not accepted, in milliseconds.
 * @param retryRatio maximum ratio of retries to requests across the fleet.
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
    val drainMs: Long,
    val keysValidWithoutContactMs: Long,
    val retryRatio: Double,
) {
    /** Bounds of the platform that are in force, for the log. */
    val boundsText: String
        get() = "graceMs=$graceMs drainMs=$drainMs keysValidWithoutContactMs=$keysValidWithoutContactMs retryRatio=$retryRatio"
}
