package wigeonreel.replay

import wigeonreel.admission.AdmissionQueue
import wigeonreel.admission.CallAttribution
import wigeonreel.admission.CallFeedback
import wigeonreel.admission.EntryThrottle
import wigeonreel.admission.ServiceLoad
import wigeonreel.admission.ServiceLoads
import wigeonreel.admission.ServiceUse
import wigeonreel.admission.Ticket
import wigeonreel.membership.Member
import wigeonreel.outcome.Refusal
import wigeonreel.routing.Router
import wigeonreel.routing.ServerReport
import wigeonreel.traffic.FleetView
import kotlin.random.Random

/** VM with a backend server and the request-path components of its daemon. */
internal class ReplayVm(
    val member: Member,
    val speed: Double,
    seed: Long,
) {
    val admissionQueue = AdmissionQueue(member.server!!.slots)
    val feedback = CallFeedback()
    val router = Router(Random(seed))
    val throttle = EntryThrottle()
    val attribution = CallAttribution<ReplayRequest>()
    val downstreamLoads = ServiceLoads()
    val waitingRequests = HashMap<Ticket, ReplayRequest>()
    var isDown = false
    var slowFactor = 1.0
    var shedShare = 0.0
    var unansweredShare = 0.0
    lateinit var view: FleetView
}

/** Request that arrived at a guard. */
internal class ReplayRequest(
    val kind: RequestKind,
    val deadlineMs: Long,
    val representedRequests: Double,
    val onReply: (ReplayReply) -> Unit,
) {
    var ticket: Ticket? = null
    var startedMs = 0L
    var hasReply = false
}

/**
 * Reply of a guard to the calling daemon.
 *
 * @param ok whether the server served the request.
 * @param refusal reason why the server did not run the request, or null if the server ran it.
 */
internal class ReplayReply(
    val ok: Boolean,
    val refusal: Refusal?,
    val retryAfterMs: Int,
    val inFlight: Int,
    val limit: Int,
    val report: ServerReport,
    val slotMs: Double,
    val uses: List<ServiceUse>,
    val loads: List<ServiceLoad>,
)

/** Result of a request, as seen by the sending daemon. */
internal class ReplayResult(
    val ok: Boolean,
    val refusal: Refusal?,
    val retryAfterMs: Int,
    val uses: List<ServiceUse> = emptyList(),
    val loads: List<ServiceLoad> = emptyList(),
)
