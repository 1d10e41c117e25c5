package wigeonreel.mesh

import io.netty.channel.EventLoopGroup
import wigeonreel.admission.ServiceLoad
import wigeonreel.admission.ServiceUse
import wigeonreel.admission.plusUses
import wigeonreel.daemon.Clock
import wigeonreel.http.HttpResponse
import wigeonreel.kernel.Service
import wigeonreel.membership.Member
import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal
import wigeonreel.peer.PeerClients
import wigeonreel.peer.PeerFailure
import wigeonreel.retry.ServiceRetryBudget
import wigeonreel.retry.attemptTimeoutMs
import wigeonreel.routing.Placement
import wigeonreel.routing.RouteDecision
import wigeonreel.routing.Router
import wigeonreel.routing.ServerReport
import wigeonreel.traffic.refusalKind
import wigeonreel.traffic.toHttp
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Sends each accepted request to the guard of a chosen server, and to another server's guard if it refuses. */
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
    private val pendingCalls = LinkedHashSet<PendingCall>()

    /**
     * Sends [call]; [onDone] receives the result and what it used once, by the call's deadline, unless the call is cancelled.
     *
     * Returns a function that cancels the call.
     */
    fun send(call: MeshCall, onDone: (MeshResult, CallUsage) -> Unit): () -> Unit {
        if (call.isRetry) budget.onInheritedRetry(call.service) else budget.onFirstAttempt(call.service)
        return PendingCall(call, onDone).also { it.start() }::cancel
    }

    /** Ends all calls as if their deadlines had passed, so that their callers get a response before the process ends. */
    fun endAll() = pendingCalls.toList().forEach { it.timedOut() }

    private inner class PendingCall(
        private val call: MeshCall,
        private val onDone: (MeshResult, CallUsage) -> Unit,
    ) {
        private val placement = Placement(call.fromBackend)
        private var cancelAttempt: () -> Unit = {}
        private var timer: Future<*>? = null
        private var attemptTimer: Future<*>? = null

        private var currentAttemptId = ""

        /** Functions that cancel the attempts without a reply for which others were started, by id. Their replies still count. */
        private val overdueAttempts = LinkedHashMap<String, () -> Unit>()

        /** Result of the call if no overdue attempt succeeds. */
        private var fallback: MeshResult? = null
        private var done = false
        private var serverAttempts = 0
        private var retryAfterMs = 0
        private var uses = emptyList<ServiceUse>()
        private var loads = emptyList<ServiceLoad>()

        /** Whether a server may have run an attempt that brought no successful response. */
        private var mayHaveRun = false

        /** Whether an attempt was sent and neither its reply nor its failure has arrived. */
        private var attemptPending = false

        /** Latest response with a server error; returned to the caller if no later attempt succeeds. */
        private var failureResponse: HttpResponse? = null

        fun start() {
            pendingCalls += this
            val leftMs = (call.deadlineMs - clock.nowMs()).coerceAtLeast(0)
            timer = loop.schedule(::timedOut, leftMs, TimeUnit.MILLISECONDS)
            attemptNext(Refusal.NO_SERVER)
        }

        fun cancel() {
            if (done) return
            end()
            cancelAttempts()
        }

        fun timedOut() {
            if (done) return
            if (attemptPending) mayHaveRun = true
            cancelOverdueAttempts()
            refuse(if (mayHaveRun) Refusal.TIMED_OUT else Refusal.DEADLINE_PASSED)
            cancelAttempt()
        }

        private fun cancelAttempts() {
            cancelOverdueAttempts()
            cancelAttempt()
        }

        private fun cancelOverdueAttempts() {
            val cancels = overdueAttempts.values.toList()
            overdueAttempts.clear()
            cancels.forEach { it() }
        }

        private fun attemptNext(refusalIfNone: Refusal) {
            val view = state.view ?: return refuse(Refusal.ISOLATED)
            val nowMs = clock.nowMs()
            val decision = router.choose(view.candidatesOf(call.service), placement.tried, nowMs, call.route.name)
            val member = (decision as? RouteDecision.To)?.let { view.member(it.daemon) }
            events.placed(call, decision, placement.tried.size)
            if (member == null) refuse(refusalIfNone) else attempt(member, nowMs)
        }

        private fun attempt(member: Member, nowMs: Long) {
            placement.onTried(member.id)
            val message = call.toForwardRequest("$selfId-${++attempts}", earlierAttempts(), nowMs)
            router.onSent(member.id)
            attemptPending = true
            currentAttemptId = message.attemptId
            startAttemptTimer(member, nowMs)
            val cancel = if (member.id == selfId) forwardHere(member, message) else forwardToPeer(member, message)
            // A refusal that comes at once has started the next attempt already.
            if (currentAttemptId == message.attemptId) cancelAttempt = cancel
        }

        private fun forwardToPeer(member: Member, message: ForwardRequest) =
            peers.forward(member.address, message, message.timeoutMs + REPLY_MARGIN_MS) { reply, cause ->
                if (reply != null) onReply(member, message, reply) else onNoReply(member, message, cause ?: PeerFailure.LOST)
            }

        /** Forwards to the local guard, which does not reply to a request that is cancelled while it is queued. */
        private fun forwardHere(member: Member, message: ForwardRequest): () -> Unit {
            var ended = false
            val cancel =
                guard.forward(message) { reply ->
                    if (!ended) onReply(member, message, reply)
                    ended = true
                }
            return {
                cancel()
                if (!ended) router.onCancelled(member.id)
                ended = true
            }
        }

        private fun earlierAttempts() =
            when {
                placement.tried.size == 1 -> EarlierAttempts.NONE
                serverAttempts == 0 -> EarlierAttempts.NOT_RUN
                else -> EarlierAttempts.MAY_HAVE_RUN
            }

        /** Starts another attempt of an idempotent call if the answer is probably lost and the call may be retried. */
        private fun startAttemptTimer(member: Member, nowMs: Long) {
            if (call.atMostOnce) return
            val load = router.offeredLoad(state.view?.candidatesOf(call.service).orEmpty(), nowMs)
            val timeoutMs = attemptTimeoutMs(router.serviceMs(member.id, call.route.name), load, call.deadlineMs - nowMs) ?: return
            attemptTimer?.cancel(false)
            attemptTimer = loop.schedule({ onOverdue(member) }, timeoutMs, TimeUnit.MILLISECONDS)
        }

        private fun onOverdue(member: Member) {
            if (done || !attemptPending) return
            serverAttempts++
            if (!mayRetry()) {
                serverAttempts--
                return
            }
            mayHaveRun = true
            attemptPending = false
            overdueAttempts[currentAttemptId] = cancelAttempt
            currentAttemptId = ""
            cancelAttempt = {}
            router.onOutcome(member.id, false, clock.nowMs())
            attemptNext(Refusal.TIMED_OUT)
        }

        private fun onReply(member: Member, message: ForwardRequest, reply: ForwardReply) {
            router.onReply(member.id, reply.inFlight, reply.limit, clock.nowMs())
            router.onReport(member.id, call.route.name, reply.serverReport())
            if (done) return
            if (overdueAttempts.remove(message.attemptId) != null) return onOverdueReply(message, reply)
            if (message.attemptId != currentAttemptId) return
            onAttemptEnded()
            recordUsage(reply)
            if (reply.attemptId != message.attemptId) return refuse(Refusal.ANSWER_LOST)
            if (reply.outcome == Outcome.ANSWERED) return onAnswer(member, reply.response(), madeCalls = reply.callUsesCount > 0)
            retryAfterMs = if (retryAfterMs == 0) reply.retryAfterMs else minOf(retryAfterMs, reply.retryAfterMs)
            onRefused(reply.refusalKind, member)
        }

        /** A success ends the call, and the attempt that took the place of this one is cancelled; a failure counts if no attempt succeeds. */
        private fun onOverdueReply(message: ForwardRequest, reply: ForwardReply) {
            if (reply.attemptId != message.attemptId || reply.outcome != Outcome.ANSWERED) return onOverdueEnded()
            if (reply.status >= SERVER_ERROR) {
                failureResponse = reply.response()
                return onOverdueEnded()
            }
            recordUsage(reply)
            finish(MeshResult.Answered(reply.response()))
            cancelAttempts()
        }

        private fun onOverdueEnded() {
            val result = fallback ?: return
            if (overdueAttempts.isEmpty()) finish(failureResponse?.let { MeshResult.Answered(it) } ?: result)
        }

        private fun ForwardReply.response() = HttpResponse(status, headersList.toHttp(), body.toByteArray())

        private fun ForwardReply.serverReport() = ServerReport(serviceMs.toDouble().takeIf { it > 0.0 }, offeredLoad.toDouble())

        private fun recordUsage(reply: ForwardReply) {
            val offeredLoad = router.offeredLoad(state.view?.candidatesOf(call.service).orEmpty(), clock.nowMs())
            uses = uses.plusUses(reply.callUsesList.map { ServiceUse(it.service, it.slotMs.toDouble()) })
            uses = uses.plusUses(listOf(ServiceUse(call.service, reply.slotMs.toDouble())))
            loads = reply.callLoadsList.map { ServiceLoad(it.service, it.ratio.toDouble()) } + ServiceLoad(call.service, offeredLoad)
        }

        /** A server error after calls of its own is not retried: the calls were already, and a retry would make all of them again. */
        private fun onAnswer(member: Member, response: HttpResponse, madeCalls: Boolean) {
            serverAttempts++
            router.onOutcome(member.id, response.status < SERVER_ERROR, clock.nowMs())
            if (response.status >= SERVER_ERROR) mayHaveRun = true
            if (response.status < SERVER_ERROR) {
                finish(MeshResult.Answered(response))
                return cancelOverdueAttempts()
            }
            failureResponse = response
            if (madeCalls || !mayRetry()) return conclude(MeshResult.Answered(response))
            attemptNext(Refusal.ANSWER_LOST)
        }

        /** Tries another server if allowed. After a guard's refusal this needs no retry budget, since no server has done any work. */
        private fun onRefused(refusal: Refusal, member: Member) {
            if (refusal in GUARD_REFUSALS) {
                if (placement.mayTryAnother(refusal)) attemptNext(refusal) else refuse(refusal)
                return
            }
            serverAttempts++
            router.onOutcome(member.id, false, clock.nowMs())
            if (refusal.ran == Ran.UNKNOWN) mayHaveRun = true
            val retryable = refusal.ran == Ran.NOT_RUN || !call.atMostOnce
            if (retryable && mayRetry()) attemptNext(refusal) else refuse(refusal)
        }

        private fun onAttemptEnded() {
            attemptPending = false
            attemptTimer?.cancel(false)
        }

        private fun onNoReply(member: Member, message: ForwardRequest, cause: PeerFailure) {
            if (done || message.attemptId != currentAttemptId) {
                router.onCancelled(member.id)
                if (overdueAttempts.remove(message.attemptId) != null) onOverdueEnded()
                return
            }
            onAttemptEnded()
            router.onFailure(member.id, clock.nowMs())
            onUnreachable(member.id)
            when (cause) {
                PeerFailure.NOT_SENT -> onRefused(Refusal.DRAINING, member)
                PeerFailure.LOST -> onRefused(Refusal.ANSWER_LOST, member)
            }
        }

        private fun mayRetry(): Boolean {
            val leftMs = call.deadlineMs - clock.nowMs()
            val hasOther =
                state.view
                    ?.candidatesOf(call.service)
                    .orEmpty()
                    .any { it.daemon !in placement.tried }
            val retryable = !call.atMostOnce || !mayHaveRun
            return retryable && hasOther && serverAttempts < call.route.attempts && leftMs > MIN_RETRY_MS && budget.tryRetry(call.service)
        }

        private fun refuse(refusal: Refusal) {
            val answer = failureResponse
            when {
                answer != null -> conclude(MeshResult.Answered(answer))
                mayHaveRun && refusal.ran == Ran.NOT_RUN -> conclude(MeshResult.Refused(Refusal.ANSWER_LOST, 0))
                else -> conclude(MeshResult.Refused(refusal, if (refusal.ran == Ran.NOT_RUN) retryAfterMs else 0))
            }
        }

        /** Ends the call without success, unless an overdue attempt may still succeed. */
        private fun conclude(result: MeshResult) {
            fallback = result
            if (overdueAttempts.isEmpty()) finish(result)
        }

        private fun finish(result: MeshResult) {
            if (done) return
            end()
            onDone(result, CallUsage(uses, loads))
        }

        private fun end() {
            done = true
            pendingCalls -= this
            timer?.cancel(false)
            attemptTimer?.cancel(false)
        }
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Time after the deadline at which a call to a peer without a reply times out. */
        const val REPLY_MARGIN_MS = 50L

        /** Minimum time left before the deadline for a retry to be worthwhile. */
        const val MIN_RETRY_MS = 50L

        /** Refusals by a guard before its server has received the request. */
        val GUARD_REFUSALS =
            setOf(Refusal.OVERLOADED, Refusal.NO_SERVER, Refusal.DRAINING, Refusal.SERVER_UNREACHABLE, Refusal.DEADLINE_PASSED)
    }
}
