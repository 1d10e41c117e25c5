package wigeonreel.mesh

import wigeonreel.admission.Admission
import wigeonreel.admission.Arrival
import wigeonreel.admission.CallFeedback
import wigeonreel.admission.Ticket
import wigeonreel.admission.WaitingRoom
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

/**
 * Guard of the backend server beside this daemon: every request to the server passes it.
 *
 * The caller of [forward] gets exactly one reply for each request that it does not cancel.
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
    private var room = WaitingRoom(1)
    private val visits = HashMap<Ticket, Visit>()
    private val feedback = CallFeedback()

    /** Requests that the server runs. */
    val running: Int get() = room.runningCount

    /** Requests that wait for the server. */
    val waiting: Int get() = room.waitingCount

    /** Takes a changed server into account; a new one starts with an empty room. */
    fun onServer(server: BackendReport, isNew: Boolean) {
        if (!isNew) return room.declare(server.slots)
        val earlier = room
        room = WaitingRoom(server.slots)
        earlier.clear().forEach { visits[it]?.displaced(Refusal.NO_SERVER) }
    }

    /** Admits [request] and runs it on the local server; returns how to cancel it. */
    fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit {
        val visit = Visit(request, room, clock.nowMs(), onReply)
        visit.enter()
        return visit::cancel
    }

    /** Notes how a call that the local server made ended. */
    fun onServerCall(refusedForRoom: Boolean) = feedback.onCall(refusedForRoom, clock.nowMs())

    /** Refuses the waiting requests that can't be served in time any more; to be called every few milliseconds. */
    fun sweep(nowMs: Long) = room.dropHopeless(nowMs).forEach { visits[it]?.displaced(Refusal.OVERLOADED) }

    private inner class Visit(
        private val request: ForwardRequest,
        private val home: WaitingRoom,
        private val arrivedAtMs: Long,
        private val onReply: (ForwardReply) -> Unit,
    ) {
        private val deadlineMs = arrivedAtMs + request.timeoutMs
        private var ticket: Ticket? = null
        private var running: Cancellable? = null
        private var startedNs = 0L

        fun enter() {
            if (state.closing) return refuse(Refusal.DRAINING, 0)
            if (!state.backendReady(arrivedAtMs) || state.backend.current?.service != request.service) return refuse(Refusal.NO_SERVER, 0)
            if (!feedback.admits(urgent = request.depth == 0 && request.priority == 0, arrivedAtMs)) {
                return refuse(Refusal.OVERLOADED, FULL_BELOW_RETURN_MS)
            }
            val arrival = Arrival(request.route, request.depth > 0, request.priority, deadlineMs, request.objectiveMs.toLong())
            val arranged = home.arrive(arrival, arrivedAtMs)
            arranged.displaced.forEach { visits[it]?.displaced(Refusal.OVERLOADED) }
            when (val admission = arranged.admission) {
                is Admission.Run -> take(admission.ticket).also { run() }
                is Admission.Wait -> take(admission.ticket)
                is Admission.Refuse -> refuse(admission.refusal, admission.retryAfterMs)
            }
        }

        /** An at-most-once request that the server already runs goes on, since half done it helps nobody. */
        fun cancel() {
            val held = ticket ?: return
            if (home.leave(held)) {
                forget()
            } else if (!request.atMostOnce) {
                running?.cancel()
            }
        }

        fun displaced(reason: Refusal) {
            forget()
            refuse(reason, home.retryAfterMs())
        }

        fun run() {
            val nowMs = clock.nowMs()
            val server = state.backend.current
            val leftMs = deadlineMs - nowMs
            if (server == null || home !== room || leftMs <= 0) {
                return done(null) { refusalReply(request, if (leftMs <= 0) Refusal.DEADLINE_PASSED else Refusal.NO_SERVER) }
            }
            state.inFlight++
            startedNs = System.nanoTime()
            val message = HttpRequest(request.method, request.uri, request.headersList.toHttp(), request.body.toByteArray())
            val maxIdleMs = if (request.atMostOnce) FRESH_MS else Long.MAX_VALUE
            val options = SendOptions(maxIdleMs, CONNECT_MS, acceptsCloseDelimited = true) { protocol.belongs(request.rootId, it) }
            val outgoing = protocol.request(message, server.instance, leftMs)
            running =
                connector.send(HttpAddress(server.host, server.port), outgoing, leftMs + ANSWER_MARGIN_MS, options) { result ->
                    state.inFlight--
                    onResult(result)
                }
        }

        private fun onResult(result: HttpResult) =
            when (result) {
                is HttpResult.Answer -> onAnswer(result.response)
                is HttpResult.NotSent -> {
                    serverDown()
                    done(null) { refusalReply(request, Refusal.SERVER_UNREACHABLE) }
                }
                is HttpResult.Lost -> done(null) { refusalReply(request, lost(result.reason)) }
            }

        private fun onAnswer(response: HttpResponse) {
            val elapsedMs = (System.nanoTime() - startedNs) / NS_PER_MS
            when (protocol.verdict(response)) {
                ServerVerdict.SERVED -> done(elapsedMs) { passOn(response) }
                ServerVerdict.FAILED -> done(null) { passOn(response) }
                ServerVerdict.SPOILED -> done(null) { refusalReply(request, Refusal.ANSWER_TRUNCATED) }
                ServerVerdict.NOT_RUN -> done(null) { refusalReply(request, Refusal.SERVER_SHED).setRetryAfterMs(home.retryAfterMs()) }
                ServerVerdict.OTHER_SERVER -> {
                    serverDown()
                    done(null) { refusalReply(request, Refusal.NO_SERVER) }
                }
            }
        }

        private fun passOn(response: HttpResponse) = answerReply(request, response, headers = response.headers.filterNot { it.isHopByHop })

        private fun lost(reason: LostReason) =
            when (reason) {
                LostReason.TIMED_OUT -> Refusal.TIMED_OUT
                LostReason.CLOSED, LostReason.CANCELLED -> Refusal.ANSWER_LOST
                LostReason.TRUNCATED -> Refusal.ANSWER_TRUNCATED
                LostReason.TOO_LARGE -> Refusal.ANSWER_TOO_LARGE
            }

        private fun serverDown() {
            state.backendDownUntilMs = clock.nowMs() + DOWN_MS
            onBackendDown()
        }

        private fun take(taken: Ticket) {
            ticket = taken
            visits[taken] = this
        }

        private fun forget() {
            ticket?.let { visits.remove(it) }
        }

        private fun done(elapsedMs: Double?, reply: () -> ForwardReply.Builder) {
            val held = ticket ?: return
            forget()
            val next = home.finish(held, elapsedMs)
            reply(reply())
            next.forEach { visits[it]?.run() }
        }

        private fun refuse(refusal: Refusal, retryAfterMs: Int) = reply(refusalReply(request, refusal).setRetryAfterMs(retryAfterMs))

        private fun reply(reply: ForwardReply.Builder) {
            val busy = home.runningCount + home.waitingCount
            val built =
                reply
                    .setInFlight(busy)
                    .setLimit(home.limit)
                    .setWaitMs(home.expectedWaitMs().toInt())
                    .build()
            events.guarded(request, built, clock.nowMs() - arrivedAtMs)
            onReply(built)
        }
    }

    private companion object {
        /** At-most-once requests use only connections that were in use within this time, in milliseconds: others may be closing. */
        const val FRESH_MS = 1_000L

        /** Time after which a request may be let in again when a service below is full, in milliseconds: some windows of the feedback. */
        const val FULL_BELOW_RETURN_MS = 800

        /** Longest time for a connection to the server on the same VM, in milliseconds; one that is silent is down. */
        const val CONNECT_MS = 300L

        /** Time after the deadline for the server's own late answer, in milliseconds. */
        const val ANSWER_MARGIN_MS = 40L

        /** Time for which a server that refuses connections is left alone, in milliseconds. */
        const val DOWN_MS = 400L
        const val NS_PER_MS = 1_000_000.0
    }
}
