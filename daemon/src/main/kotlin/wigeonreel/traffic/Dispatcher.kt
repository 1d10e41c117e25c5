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

/** Sends calls to the daemons of the chosen backend servers and retries idempotent calls within the retry budget. */
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

    /** Handles attempts for the backend server of this VM; set during start-up, before the first call. */
    lateinit var localHandler: PeerHandler

    private val log = Log("route")
    private val retryRatio = RetryRatio()
    private var attempts = 0L

    /** Sends [call] and passes its result to [onDone] once. Returns a function that cancels the call. */
    fun send(call: Call, onDone: (CallResult) -> Unit): () -> Unit {
        retryRatio.onFirstAttempt()
        val pending = PendingCall(call, onDone)
        pending.start()
        return pending::cancel
    }

    /** Returns the home daemon of [call]'s idempotency key, or the refusal if it has none or its home is not available. */
    private fun homeOf(call: Call, view: FleetView): HomeChoice {
        val key = call.key ?: return HomeChoice.Unavailable(Refusal.IDEMPOTENCY_KEY_MISSING)
        val binding = key.binding
        val home =
            binding?.home ?: view.configuration.homeSets[call.service]
                ?.current
                ?.homeOf(key.text)
        val member = home?.let { view.member(it) }
        return when {
            home == null -> HomeChoice.Unavailable(Refusal.HOME_NOT_CURRENT)
            member == null || !member.live -> HomeChoice.Unavailable(Refusal.HOME_UNREACHABLE)
            binding != null && binding.incarnation != member.incarnation -> HomeChoice.Unavailable(Refusal.RECORD_LOST)
            else -> HomeChoice.Found(member)
        }
    }

    private sealed interface HomeChoice {
        data class Found(
            val member: Member,
        ) : HomeChoice

        data class Unavailable(
            val refusal: Refusal,
        ) : HomeChoice
    }

    private inner class PendingCall(
        private val call: Call,
        private val onDone: (CallResult) -> Unit,
    ) {
        private val tried = HashSet<String>()
        private var cancelAttempt: () -> Unit = {}
        private var done = false

        /** Whether an attempt without a response may have been executed. */
        private var mayHaveRun = false
        private val atMostOnce = call.classification.harm == Harm.AT_MOST_ONCE

        fun start() {
            val view = state.view ?: return refuse(Refusal.ISOLATED)
            if (atMostOnce) sendToHome(view) else sendToAny(view, Refusal.NO_SERVER)
        }

        /** Cancels an idempotent call. A non-idempotent one runs to completion, so that a retry with its key gets the outcome. */
        fun cancel() {
            if (atMostOnce || done) return
            done = true
            cancelAttempt()
        }

        private fun sendToHome(view: FleetView) {
            when (val home = homeOf(call, view)) {
                is HomeChoice.Unavailable -> refuse(home.refusal)
                is HomeChoice.Found -> attempt(home.member)
            }
        }

        private fun sendToAny(view: FleetView, fallback: Refusal) {
            val route = router.choose(view.candidatesOf(call.service), tried, clock.nowMs())
            log.decision { "${call.context.rootId} ${call.service} ${route.logLine}" }
            val member = (route as? RouteDecision.To)?.let { view.member(it.daemon) }
            if (member == null) refuse(fallback) else attempt(member)
        }

        private fun attempt(member: Member) {
            val nowMs = clock.nowMs()
            if (call.context.deadlineMs <= nowMs) return refuse(Refusal.DEADLINE_PASSED)
            tried += member.id
            val childRetryBudget = call.context.ledger.reserve(call.context.ledger.remaining - 1)
            val message = call.toForwardRequest("$selfId-${++attempts}", childRetryBudget, nowMs)
            router.onSent(member.id)
            if (member.id == selfId) {
                cancelAttempt = localHandler.forward(message) { onReply(member, message, childRetryBudget, it) }
            } else {
                cancelAttempt = forwardToPeer(member, message, childRetryBudget)
            }
        }

        private fun forwardToPeer(member: Member, message: ForwardRequest, childRetryBudget: Int): () -> Unit =
            peers.forward(member.address, message, message.timeoutMs + REPLY_MARGIN_MS) { reply, failure ->
                if (reply != null) onReply(member, message, childRetryBudget, reply) else onNoReply(member, childRetryBudget, failure!!)
            }

        private fun onReply(member: Member, message: ForwardRequest, childRetryBudget: Int, reply: ForwardReply) {
            router.onReply(member.id, reply.inFlight, reply.limit, clock.nowMs())
            if (done) return
            if (reply.attemptId != message.attemptId) return onMismatchedReply()
            call.context.ledger.settle(childRetryBudget, reply.retriesSpent)
            val threshold = AdmissionThreshold(reply.cut)
            when (reply.outcome) {
                Outcome.ANSWERED ->
                    finish(
                        CallResult.Answered(HttpResponse(reply.status, reply.headersList.toHttp(), reply.body.toByteArray()), threshold),
                    )
                else -> retryOr(reply.refusalKind, reply.retryAfterMs, threshold)
            }
        }

        private fun onMismatchedReply() {
            metrics.violated()
            refuse(Refusal.ANSWER_LOST)
        }

        private fun onNoReply(member: Member, childRetryBudget: Int, failure: PeerFailure) {
            if (done) return router.onCancelled(member.id)
            router.onFailure(member.id, clock.nowMs())
            onUnreachable(member.id)
            when (failure) {
                PeerFailure.NOT_SENT -> {
                    call.context.ledger.settle(childRetryBudget, 0)
                    retryOr(Refusal.SERVER_UNREACHABLE, Refusal.SERVER_UNREACHABLE.retryAfterMs, AdmissionThreshold.NONE)
                }
                PeerFailure.LOST -> retryOr(Refusal.ANSWER_LOST, 0, AdmissionThreshold.NONE)
            }
        }

        private fun retryOr(refusal: Refusal, retryAfterMs: Int, threshold: AdmissionThreshold) {
            if (refusal.ran == Ran.UNKNOWN) mayHaveRun = true
            val view = state.view
            if (view == null || !mayRetry(refusal)) return finish(CallResult.Refused(refusal, retryAfterMs, threshold))
            metrics.retried()
            sendToAny(view, refusal)
        }

        private fun mayRetry(refusal: Refusal): Boolean {
            val hasUntriedServer =
                state.view
                    ?.candidatesOf(call.service)
                    .orEmpty()
                    .any { it.daemon !in tried }
            return !atMostOnce &&
                hasUntriedServer &&
                refusal in RETRYABLE &&
                tried.size < MAX_ATTEMPTS &&
                retryRatio.tryRetry() &&
                call.context.ledger.reserve(1) == 1
        }

        private fun refuse(refusal: Refusal) = finish(CallResult.Refused(refusal, refusal.retryAfterMs, AdmissionThreshold.NONE))

        private fun finish(result: CallResult) {
            if (done) return
            done = true
            call.context.onChildThreshold(result.threshold)
            if (result is CallResult.Refused) call.context.ledger.recordFailure(call.fingerprint)
            onDone(correctOutcome(result))
        }

        /** Replaces a not-run refusal by [Refusal.ANSWER_LOST] if an earlier attempt of the call may have been executed. */
        private fun correctOutcome(result: CallResult): CallResult =
            if (result is CallResult.Refused && mayHaveRun && result.refusal.ran == Ran.NOT_RUN) {
                CallResult.Refused(Refusal.ANSWER_LOST, 0, result.threshold)
            } else {
                result
            }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val REPLY_MARGIN_MS = 50L
        val RETRYABLE =
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
