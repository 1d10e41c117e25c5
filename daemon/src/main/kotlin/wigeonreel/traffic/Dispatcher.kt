package wigeonreel.traffic

import wigeonreel.admission.AdmissionThreshold
import wigeonreel.config.Harm
import wigeonreel.daemon.Clock
import wigeonreel.http.HttpResponse
import wigeonreel.kernel.Log
import wigeonreel.kernel.Service
import wigeonreel.membership.Member
import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal
import wigeonreel.peer.PeerClients
import wigeonreel.peer.PeerFailure
import wigeonreel.peer.PeerHandler
import wigeonreel.retry.RetryRatio
import wigeonreel.routing.RouteDecision
import wigeonreel.routing.Router
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome

/** Sends calls to the daemons beside the chosen servers and retries where that is harmless and within budget. */
class Dispatcher(
    private val selfId: String,
    private val state: TrafficState,
    private val router: Router,
    private val peers: PeerClients,
    private val metrics: TrafficMetrics,
    private val clock: Clock,
    private val onUnreachable: (String) -> Unit,
) : Service {
    override val name = "dispatcher"

    /** Handles the attempts that stay on this VM; set once the process is put together. */
    lateinit var local: PeerHandler

    private val log = Log("route")
    private val ratio = RetryRatio()
    private var attempts = 0L

    /** Sends [call]; [onDone] gets its result once. Returns how to cancel it. */
    fun send(call: Call, onDone: (CallResult) -> Unit): () -> Unit {
        ratio.onFirstAttempt()
        val sending = Sending(call, onDone)
        sending.start()
        return sending::cancel
    }

    /** Returns the daemon whose server is the home of [call]'s key, or why there is none. */
    private fun homeOf(call: Call, view: FleetView): HomeChoice {
        val key = call.key ?: return HomeChoice.None(Refusal.IDEMPOTENCY_KEY_MISSING)
        val binding = key.binding
        val home =
            binding?.home ?: view.configuration.homeSets[call.service]
                ?.current
                ?.homeOf(key.text)
        val member = home?.let { view.member(it) }
        return when {
            home == null -> HomeChoice.None(Refusal.HOME_NOT_CURRENT)
            member == null || !member.live -> HomeChoice.None(Refusal.HOME_UNREACHABLE)
            binding != null && binding.incarnation != member.incarnation -> HomeChoice.None(Refusal.RECORD_LOST)
            else -> HomeChoice.At(member)
        }
    }

    private sealed interface HomeChoice {
        data class At(
            val member: Member,
        ) : HomeChoice

        data class None(
            val refusal: Refusal,
        ) : HomeChoice
    }

    private inner class Sending(
        private val call: Call,
        private val onDone: (CallResult) -> Unit,
    ) {
        private val tried = HashSet<String>()
        private var cancelAttempt: () -> Unit = {}
        private var done = false

        /** Whether some attempt can have reached a server although no answer came. */
        private var mayHaveRun = false
        private val atMostOnce = call.classification.harm == Harm.AT_MOST_ONCE

        fun start() {
            val view = state.view ?: return refuse(Refusal.ISOLATED)
            if (atMostOnce) startAtHome(view) else startAnywhere(view, Refusal.NO_SERVER)
        }

        /** A non-idempotent call goes on when its caller leaves; a repeat gets its outcome. */
        fun cancel() {
            if (atMostOnce || done) return
            done = true
            cancelAttempt()
        }

        private fun startAtHome(view: FleetView) {
            when (val home = homeOf(call, view)) {
                is HomeChoice.None -> refuse(home.refusal)
                is HomeChoice.At -> attempt(home.member)
            }
        }

        private fun startAnywhere(view: FleetView, otherwise: Refusal) {
            val route = router.choose(view.candidatesOf(call.service), tried, clock.nowMs())
            log.decision { "${call.context.rootId} ${call.service} ${route.logLine}" }
            val member = (route as? RouteDecision.To)?.let { view.member(it.daemon) }
            if (member == null) refuse(otherwise) else attempt(member)
        }

        private fun attempt(member: Member) {
            val nowMs = clock.nowMs()
            if (call.context.deadlineMs <= nowMs) return refuse(Refusal.DEADLINE_PASSED)
            tried += member.id
            val handedDown = call.context.ledger.reserve(call.context.ledger.remaining - 1)
            val message = call.toAttempt("$selfId-${++attempts}", handedDown, nowMs)
            router.onSent(member.id)
            if (member.id == selfId) {
                cancelAttempt = local.forward(message) { onReply(member, message, handedDown, it) }
            } else {
                cancelAttempt = forwardToPeer(member, message, handedDown)
            }
        }

        private fun forwardToPeer(member: Member, message: ForwardRequest, handedDown: Int): () -> Unit =
            peers.forward(member.address, message, message.timeoutMs + REPLY_MARGIN_MS) { reply, failure ->
                if (reply != null) onReply(member, message, handedDown, reply) else onNoReply(member, handedDown, failure!!)
            }

        private fun onReply(member: Member, message: ForwardRequest, handedDown: Int, reply: ForwardReply) {
            router.onReply(member.id, reply.inFlight, reply.limit, clock.nowMs())
            if (done) return
            if (reply.attemptId != message.attemptId) return foreignReply()
            call.context.ledger.settle(handedDown, reply.retriesSpent)
            val cut = AdmissionThreshold(reply.cut)
            when (reply.outcome) {
                Outcome.ANSWERED ->
                    finish(
                        CallResult.Answered(HttpResponse(reply.status, reply.headersList.toHttp(), reply.body.toByteArray()), cut),
                    )
                else -> retryOr(reply.refusalKind, reply.retryAfterMs, cut)
            }
        }

        private fun foreignReply() {
            metrics.violated()
            refuse(Refusal.ANSWER_LOST)
        }

        private fun onNoReply(member: Member, handedDown: Int, failure: PeerFailure) {
            if (done) return router.onCancelled(member.id)
            router.onFailure(member.id, clock.nowMs())
            onUnreachable(member.id)
            when (failure) {
                PeerFailure.NOT_SENT -> {
                    call.context.ledger.settle(handedDown, 0)
                    retryOr(Refusal.SERVER_UNREACHABLE, Refusal.SERVER_UNREACHABLE.retryAfterMs, AdmissionThreshold.NONE)
                }
                PeerFailure.LOST -> retryOr(Refusal.ANSWER_LOST, 0, AdmissionThreshold.NONE)
            }
        }

        private fun retryOr(refusal: Refusal, retryAfterMs: Int, cut: AdmissionThreshold) {
            if (refusal.ran == Ran.UNKNOWN) mayHaveRun = true
            val view = state.view
            if (view == null || !mayRetry(refusal)) return finish(CallResult.Refused(refusal, retryAfterMs, cut))
            metrics.retried()
            startAnywhere(view, refusal)
        }

        private fun mayRetry(refusal: Refusal): Boolean {
            val another =
                state.view
                    ?.candidatesOf(call.service)
                    .orEmpty()
                    .any { it.daemon !in tried }
            return !atMostOnce &&
                another &&
                refusal in RETRIED &&
                tried.size < MAX_ATTEMPTS &&
                ratio.tryRetry() &&
                call.context.ledger.reserve(1) == 1
        }

        private fun refuse(refusal: Refusal) = finish(CallResult.Refused(refusal, refusal.retryAfterMs, AdmissionThreshold.NONE))

        private fun finish(result: CallResult) {
            if (done) return
            done = true
            call.context.onChildCut(result.cut)
            if (result is CallResult.Refused) call.context.ledger.recordFailure(call.fingerprint)
            onDone(truthful(result))
        }

        /** After an attempt that may have run, no refusal of the same call claims that it was not run. */
        private fun truthful(result: CallResult): CallResult =
            if (result is CallResult.Refused && mayHaveRun && result.refusal.ran == Ran.NOT_RUN) {
                CallResult.Refused(Refusal.ANSWER_LOST, 0, result.cut)
            } else {
                result
            }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val REPLY_MARGIN_MS = 50L
        val RETRIED =
            setOf(
                Refusal.OVERLOADED,
                Refusal.DRAINING,
                Refusal.NO_SERVER,
                Refusal.SERVER_UNREACHABLE,
                Refusal.ANSWER_LOST,
                Refusal.ANSWER_TRUNCATED,
            )
    }
}
