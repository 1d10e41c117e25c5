package wigeonreel.mesh

import io.netty.channel.EventLoopGroup
import wigeonreel.daemon.Clock
import wigeonreel.http.HttpResponse
import wigeonreel.kernel.Service
import wigeonreel.membership.Member
import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal
import wigeonreel.peer.PeerClients
import wigeonreel.peer.PeerFailure
import wigeonreel.retry.ServiceRetryBudget
import wigeonreel.routing.Placement
import wigeonreel.routing.RouteDecision
import wigeonreel.routing.Router
import wigeonreel.traffic.refusalKind
import wigeonreel.traffic.toHttp
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Sends accepted requests to the guards of the chosen servers, and elsewhere when a guard turns them away. */
class MeshSender(
    private val loop: EventLoopGroup,
    private val selfId: String,
    private val state: MeshState,
    private val router: Router,
    private val budget: ServiceRetryBudget,
    private val peers: PeerClients,
    private val guard: MeshGuard,
    private val events: MeshEvents,
    private val clock: Clock,
    private val onUnreachable: (String) -> Unit,
) : Service {
    override val name = "sender"
    private var attempts = 0L

    /** Sends [call]; [onDone] gets its result once, by its deadline. Returns how to cancel it. */
    fun send(call: MeshCall, onDone: (MeshResult) -> Unit): () -> Unit {
        budget.onFirstAttempt(call.service)
        return Sending(call, onDone).also { it.start() }::cancel
    }

    private inner class Sending(
        private val call: MeshCall,
        private val onDone: (MeshResult) -> Unit,
    ) {
        private val placement = Placement(call.begun)
        private var cancelAttempt: () -> Unit = {}
        private var timer: Future<*>? = null
        private var done = false
        private var arrivals = 0
        private var retryAfterMs = 0

        /** Whether some attempt can have reached a server although no answer came. */
        private var mayHaveRun = false

        /** Whether an attempt is out whose fate is not known yet. */
        private var underWay = false

        /** Latest answer by which a server reported its own failure; delivered if nothing better comes. */
        private var failure: HttpResponse? = null

        fun start() {
            val leftMs = (call.deadlineMs - clock.nowMs()).coerceAtLeast(0)
            timer = loop.schedule(::timedOut, leftMs, TimeUnit.MILLISECONDS)
            place(Refusal.NO_SERVER)
        }

        fun cancel() {
            if (done) return
            done = true
            timer?.cancel(false)
            cancelAttempt()
        }

        private fun timedOut() {
            if (done) return
            if (underWay) mayHaveRun = true
            refuse(if (mayHaveRun) Refusal.TIMED_OUT else Refusal.DEADLINE_PASSED)
            cancelAttempt()
        }

        private fun place(otherwise: Refusal) {
            val view = state.view ?: return refuse(Refusal.ISOLATED)
            val nowMs = clock.nowMs()
            val decision = router.choose(view.candidatesOf(call.service), placement.tried, nowMs)
            val member = (decision as? RouteDecision.To)?.let { view.member(it.daemon) }
            events.placed(call, decision, placement.tried.size)
            if (member == null) refuse(otherwise) else attempt(member, nowMs)
        }

        private fun attempt(member: Member, nowMs: Long) {
            placement.onTried(member.id)
            val message = call.toAttempt("$selfId-${++attempts}", nowMs)
            router.onSent(member.id)
            underWay = true
            cancelAttempt =
                if (member.id == selfId) {
                    guard.forward(message) { onReply(member, message, it) }
                } else {
                    peers.forward(member.address, message, message.timeoutMs + REPLY_MARGIN_MS) { reply, lost ->
                        if (reply != null) onReply(member, message, reply) else onNoReply(member, lost ?: PeerFailure.LOST)
                    }
                }
        }

        private fun onReply(member: Member, message: ForwardRequest, reply: ForwardReply) {
            underWay = false
            router.onReply(member.id, reply.inFlight, reply.limit, clock.nowMs())
            if (done) return
            if (reply.attemptId != message.attemptId) return refuse(Refusal.ANSWER_LOST)
            if (reply.outcome == Outcome.ANSWERED) {
                return onAnswer(member, HttpResponse(reply.status, reply.headersList.toHttp(), reply.body.toByteArray()))
            }
            retryAfterMs = if (retryAfterMs == 0) reply.retryAfterMs else minOf(retryAfterMs, reply.retryAfterMs)
            onRefused(reply.refusalKind, member)
        }

        private fun onAnswer(member: Member, response: HttpResponse) {
            arrivals++
            router.onOutcome(member.id, response.status < SERVER_ERROR, clock.nowMs())
            if (response.status >= SERVER_ERROR) mayHaveRun = true
            if (response.status < SERVER_ERROR || !mayRepeat()) return finish(MeshResult.Answered(response))
            failure = response
            place(Refusal.ANSWER_LOST)
        }

        /** A guard's refusal costs no server anything; all else is a repeat and needs budget. */
        private fun onRefused(refusal: Refusal, member: Member) {
            if (refusal in TURNED_AWAY) {
                if (placement.mayTryAnother(refusal)) place(refusal) else refuse(refusal)
                return
            }
            arrivals++
            router.onOutcome(member.id, false, clock.nowMs())
            if (refusal.ran == Ran.UNKNOWN) mayHaveRun = true
            val repeatable = refusal.ran == Ran.NOT_RUN || !call.atMostOnce
            if (repeatable && mayRepeat()) place(refusal) else refuse(refusal)
        }

        private fun onNoReply(member: Member, lost: PeerFailure) {
            underWay = false
            if (done) return router.onCancelled(member.id)
            router.onFailure(member.id, clock.nowMs())
            onUnreachable(member.id)
            when (lost) {
                PeerFailure.NOT_SENT -> onRefused(Refusal.DRAINING, member)
                PeerFailure.LOST -> onRefused(Refusal.ANSWER_LOST, member)
            }
        }

        private fun mayRepeat(): Boolean {
            val leftMs = call.deadlineMs - clock.nowMs()
            val another =
                state.view
                    ?.candidatesOf(call.service)
                    .orEmpty()
                    .any { it.daemon !in placement.tried }
            val repeatable = !call.atMostOnce || !mayHaveRun
            return repeatable && another && arrivals < call.route.attempts && leftMs > MIN_REPEAT_MS && budget.tryRetry(call.service)
        }

        private fun refuse(refusal: Refusal) {
            val answer = failure
            when {
                answer != null -> finish(MeshResult.Answered(answer))
                mayHaveRun && refusal.ran == Ran.NOT_RUN -> finish(MeshResult.Refused(Refusal.ANSWER_LOST, 0))
                else -> finish(MeshResult.Refused(refusal, if (refusal.ran == Ran.NOT_RUN) retryAfterMs else 0))
            }
        }

        private fun finish(result: MeshResult) {
            if (done) return
            done = true
            timer?.cancel(false)
            onDone(result)
        }
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Time after the deadline for a reply under way, in milliseconds. */
        const val REPLY_MARGIN_MS = 50L

        /** Least time left for which a repeat is worth it, in milliseconds. */
        const val MIN_REPEAT_MS = 50L

        /** Refusals by a guard, before any server was asked. */
        val TURNED_AWAY =
            setOf(Refusal.OVERLOADED, Refusal.NO_SERVER, Refusal.DRAINING, Refusal.SERVER_UNREACHABLE, Refusal.DEADLINE_PASSED)
    }
}
