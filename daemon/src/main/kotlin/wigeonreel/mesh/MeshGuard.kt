package wigeonreel.mesh

import wigeonreel.admission.Admission
import wigeonreel.admission.AdmissionQueue
import wigeonreel.admission.Arrival
import wigeonreel.admission.CallAttribution
import wigeonreel.admission.CallFeedback
import wigeonreel.admission.RunningRequest
import wigeonreel.admission.ServiceLoad
import wigeonreel.admission.ServiceLoads
import wigeonreel.admission.ServiceUse
import wigeonreel.admission.Ticket
import wigeonreel.backend.BackendReport
import wigeonreel.daemon.Clock
import wigeonreel.http.Cancellable
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import wigeonreel.http.LostReason
import wigeonreel.http.SendOptions
import wigeonreel.http.isHopByHop
import wigeonreel.kernel.Service
import wigeonreel.outcome.Refusal
import wigeonreel.traffic.answerReply
import wigeonreel.traffic.refusalReply
import wigeonreel.traffic.toHttp
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.ServiceLoad as WireLoad
import wigeonreel.wire.ServiceUse as WireUse

/**
 * Admission control in front of the local backend server; every request to the server passes through it.
 *
 * The caller of [forward] receives exactly one reply for each request that it does not cancel.
 */
class MeshGuard(
    private val state: MeshState,
    private val protocol: ServerProtocol,
    private val connector: HttpConnector,
    private val events: MeshEvents,
    private val clock: Clock,
    private val onBackendDown: () -> Unit,
) : Service {
    override val name = "guard"
    private var currentQueue = AdmissionQueue(1)
    private val requests = HashMap<Ticket, GuardedRequest>()
    private val feedback = CallFeedback()
    private val attribution = CallAttribution<GuardedRequest>()
    private val downstreamLoads = ServiceLoads()

    /** Number of requests that the server runs. */
    val running: Int get() = currentQueue.runningCount

    /** Number of requests queued for the server. */
    val waiting: Int get() = currentQueue.waitingCount

    /** Number of requests that are queued or run, also on a server that was replaced. */
    val openRequests: Int get() = requests.size

    /** Applies the slots that [server] reports. If [isNew], starts a new queue and refuses the requests queued for the previous server. */
    fun onBackendReport(server: BackendReport, isNew: Boolean) {
        if (!isNew) return currentQueue.updateSlots(server.slots)
        val previous = currentQueue
        currentQueue = AdmissionQueue(server.slots)
        previous.clear().forEach { requests[it]?.evict(Refusal.NO_SERVER) }
    }

    /** Admits [request] and runs it on the local server. Returns a function that cancels it. */
    fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit {
        val guardedRequest = GuardedRequest(request, currentQueue, clock.nowMs(), onReply)
        guardedRequest.admit()
        return guardedRequest::cancel
    }

    /** Returns the request, running on the local server, that probably makes a call with the deadline [deadlineMs]; null if unknown. */
    fun callerOf(deadlineMs: Long): RunningRequest? = attribution.callerOf(deadlineMs)

    /** Records the end of a call that the local server made; [overloaded] is true if the call was refused because of overload. */
    fun onBackendCall(caller: RunningRequest?, usage: CallUsage, overloaded: Boolean) {
        val nowMs = clock.nowMs()
        feedback.onCall(overloaded, nowMs)
        usage.loads.forEach { downstreamLoads.learn(it, nowMs) }
        if (caller != null) attribution.onCallFinished(caller, usage.uses, nowMs)
    }

    /**
     * Refuses the queued requests that can no longer be served in time, and all if the server has left.
     *
     * Must be called every few tens of milliseconds.
     */
    fun sweep(nowMs: Long) {
        currentQueue.shedLate(nowMs).forEach { requests[it]?.evict(Refusal.OVERLOADED) }
        if (nowMs >= state.backendDrainedAtMs) currentQueue.clear().forEach { requests[it]?.evict(Refusal.NO_SERVER) }
    }

    private inner class GuardedRequest(
        private val request: ForwardRequest,
        private val queue: AdmissionQueue,
        private val arrivedAtMs: Long,
        private val onReply: (ForwardReply) -> Unit,
    ) {
        private val deadlineMs = arrivedAtMs + request.timeoutMs
        private var ticket: Ticket? = null
        private var running: Cancellable? = null
        private var startedNs = 0L

        /** Loss of the server's response, or null. */
        private var loss: HttpResult.Lost? = null

        fun admit() {
            if (!state.accepts(request.timeoutMs.toLong(), arrivedAtMs)) return refuse(Refusal.DRAINING, 0)
            if (!state.backendReady(arrivedAtMs) || state.backend.current?.service != request.service) return refuse(Refusal.NO_SERVER, 0)
            if (!feedback.admits(urgent = request.depth == 0 && request.priority == 0, arrivedAtMs)) {
                return refuse(Refusal.OVERLOADED, DOWNSTREAM_FULL_RETRY_AFTER_MS)
            }
            val arrival =
                Arrival(
                    request.route,
                    request.depth > 0,
                    request.priority,
                    deadlineMs,
                    request.objectiveMs.toLong(),
                    request.representedRequests.toDouble(),
                )
            val result = queue.arrive(arrival, arrivedAtMs)
            result.displaced.forEach { requests[it]?.evict(Refusal.OVERLOADED) }
            when (val admission = result.admission) {
                is Admission.Run -> register(admission.ticket).also { run() }
                is Admission.Wait -> register(admission.ticket)
                is Admission.Refuse -> refuse(admission.refusal, admission.retryAfterMs)
            }
        }

        /** Cancels the request. An at-most-once request that the server already runs continues, since a partial run is of no use. */
        fun cancel() {
            val ownTicket = ticket ?: return
            if (queue.cancel(ownTicket)) {
                unregister()
            } else if (!request.atMostOnce) {
                running?.cancel()
            }
        }

        fun evict(refusal: Refusal) {
            unregister()
            refuse(refusal, queue.retryAfterMs())
        }

        fun run() {
            val nowMs = clock.nowMs()
            val server = state.backend.current
            val leftMs = deadlineMs - nowMs
            if (server == null || queue !== currentQueue || nowMs >= state.backendDrainedAtMs || leftMs <= 0) {
                return complete(null) { refusalReply(request, if (leftMs <= 0) Refusal.DEADLINE_PASSED else Refusal.NO_SERVER) }
            }
            startedNs = System.nanoTime()
            attribution.onStarted(this, deadlineMs, request.representedRequests.toDouble().coerceAtLeast(1.0), request.isRetry, nowMs)
            val message = HttpRequest(request.method, request.uri, request.headersList.toHttp(), request.body.toByteArray())
            val maxIdleMs = if (request.atMostOnce) MAX_IDLE_AT_MOST_ONCE_MS else Long.MAX_VALUE
            val options =
                SendOptions(maxIdleMs, CONNECT_TIMEOUT_MS, acceptsCloseDelimited = true) { response, reused ->
                    protocol.match(request.rootId, response, reused)
                }
            val outgoing = protocol.request(message, server.instance, leftMs)
            running =
                connector.send(HttpAddress(server.host, server.port), outgoing, leftMs + ANSWER_MARGIN_MS, options) { onResult(it) }
        }

        private fun onResult(result: HttpResult) =
            when (result) {
                is HttpResult.Answer -> onAnswer(result.response)
                is HttpResult.NotSent -> {
                    markServerDown()
                    complete(null) { refusalReply(request, Refusal.SERVER_UNREACHABLE) }
                }
                is HttpResult.Lost -> {
                    loss = result
                    val timedOut = result.reason == LostReason.TIMED_OUT
                    complete(elapsedMs().takeIf { timedOut }) { refusalReply(request, refusalFor(result.reason)) }
                }
            }

        private fun onAnswer(response: HttpResponse) {
            val elapsedMs = elapsedMs()
            when (protocol.verdict(response)) {
                ServerVerdict.SERVED -> complete(elapsedMs) { relay(response) }
                ServerVerdict.FAILED -> complete(elapsedMs.takeIf { clock.nowMs() >= deadlineMs }) { relay(response) }
                ServerVerdict.UNVERIFIED -> complete(null) { refusalReply(request, Refusal.ANSWER_TRUNCATED) }
                ServerVerdict.NOT_RUN -> complete(null) { refusalReply(request, Refusal.SERVER_SHED).setRetryAfterMs(queue.retryAfterMs()) }
                ServerVerdict.OTHER_SERVER -> {
                    markServerDown()
                    complete(null) { refusalReply(request, Refusal.NO_SERVER) }
                }
            }
        }

        private fun elapsedMs() = (System.nanoTime() - startedNs) / NS_PER_MS

        private fun relay(response: HttpResponse) = answerReply(request, response, headers = response.headers.filterNot { it.isHopByHop })

        private fun refusalFor(reason: LostReason) =
            when (reason) {
                LostReason.TIMED_OUT -> Refusal.TIMED_OUT
                LostReason.CLOSED, LostReason.RESET, LostReason.CANCELLED -> Refusal.ANSWER_LOST
                LostReason.TRUNCATED, LostReason.MALFORMED -> Refusal.ANSWER_TRUNCATED
                LostReason.TOO_LARGE -> Refusal.ANSWER_TOO_LARGE
            }

        private fun markServerDown() {
            state.backendDownUntilMs = clock.nowMs() + SERVER_DOWN_MS
            onBackendDown()
        }

        private fun register(newTicket: Ticket) {
            ticket = newTicket
            requests[newTicket] = this
        }

        private fun unregister() {
            ticket?.let { requests.remove(it) }
        }

        private fun complete(elapsedMs: Double?, reply: () -> ForwardReply.Builder) {
            val ownTicket = ticket ?: return
            unregister()
            val next = queue.finish(ownTicket, elapsedMs, clock.nowMs())
            val callUses = attribution.onEnded(this)
            val slotMs = if (startedNs == 0L) 0f else elapsedMs().toFloat()
            reply(reply().setSlotMs(slotMs).addAllCallUses(callUses.map { it.toWire() }))
            next.forEach { requests[it]?.run() }
        }

        private fun refuse(refusal: Refusal, retryAfterMs: Int) = reply(refusalReply(request, refusal).setRetryAfterMs(retryAfterMs))

        private fun reply(reply: ForwardReply.Builder) {
            val inFlight = queue.runningCount + queue.waitingCount
            val built =
                reply
                    .setInFlight(inFlight)
                    .setLimit(queue.limit)
                    .setWaitMs(queue.expectedWaitMs().toInt())
                    .setServiceMs(queue.serviceMs(request.route)?.toFloat() ?: 0f)
                    .setOfferedLoad(queue.offeredLoad.toFloat())
                    .addAllCallLoads(downstreamLoads.current(clock.nowMs()).map { it.toWire() })
                    .build()
            events.guarded(request, built, clock.nowMs() - arrivedAtMs, loss)
            onReply(built)
        }
    }

    private fun ServiceUse.toWire() =
        WireUse
            .newBuilder()
            .setService(service)
            .setSlotMs(slotMs.toFloat())
            .build()

    private fun ServiceLoad.toWire() =
        WireLoad
            .newBuilder()
            .setService(service)
            .setRatio(ratio.toFloat())
            .build()

    private companion object {
        /** Maximum idle time of a connection for an at-most-once request; the server may be closing one that was idle for longer. */
        const val MAX_IDLE_AT_MOST_ONCE_MS = 1_000L

        /** Retry-After of a refusal because a downstream service is overloaded; several windows of [CallFeedback]. */
        const val DOWNSTREAM_FULL_RETRY_AFTER_MS = 800

        /** Timeout for connecting to the server on the same VM; a server that does not accept within it is down. */
        const val CONNECT_TIMEOUT_MS = 300L

        /** Time after the deadline during which the server's own late response is still accepted. */
        const val ANSWER_MARGIN_MS = 40L

        /** Time during which a server gets no requests after it refused a connection or another server answered at its address. */
        const val SERVER_DOWN_MS = 400L
        const val NS_PER_MS = 1_000_000.0
    }
}
