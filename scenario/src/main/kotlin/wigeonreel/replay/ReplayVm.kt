package wigeonreel.replay

import wigeonreel.admission.AdmissionQueue
import wigeonreel.admission.CallFeedback
import wigeonreel.admission.Ticket
import wigeonreel.membership.Member
import wigeonreel.outcome.Refusal
import wigeonreel.routing.Router
import wigeonreel.traffic.FleetView
import kotlin.random.Random

/** One VM: a server and the decision objects of the daemon beside it. */
internal class ReplayVm(
    val member: Member,
    val speed: Double,
    seed: Long,
) {
    val room = AdmissionQueue(member.server!!.slots)
    val feedback = CallFeedback()
    val router = Router(Random(seed))
    val visits = HashMap<Ticket, ReplayVisit>()
    var lost = false
    var slow = 1.0
    var shed = 0.0
    lateinit var view: FleetView
}

/** Request at a guard. */
internal class ReplayVisit(
    val kind: RequestKind,
    val deadlineMs: Long,
    val onReply: (ReplayReply) -> Unit,
) {
    var ticket: Ticket? = null
    var startedMs = 0L
    var given = false
}

/** What a guard tells the daemon that asked it: [refusal] is null when the server ran the request, [ok] whether it served it. */
internal class ReplayReply(
    val ok: Boolean,
    val refusal: Refusal?,
    val retryAfterMs: Int,
    val inFlight: Int,
    val limit: Int,
)

/** Result of a request at its entry. */
internal class ReplayResult(
    val ok: Boolean,
    val refusal: Refusal?,
    val retryAfterMs: Int,
)
