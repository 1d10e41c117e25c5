package wigeonreel.traffic

import wigeonreel.admission.AdmissionThreshold
import wigeonreel.admission.Guard
import wigeonreel.admission.GuardDecision
import wigeonreel.admission.GuardRequest
import wigeonreel.admission.Rank
import wigeonreel.config.AccountConfig
import wigeonreel.daemon.Clock
import wigeonreel.http.Cancellable
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import wigeonreel.http.LostReason
import wigeonreel.http.ResponseMatch
import wigeonreel.http.SendOptions
import wigeonreel.kernel.Log
import wigeonreel.kernel.Service
import wigeonreel.outcome.Refusal
import wigeonreel.retry.RetryLedger
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest

/**
 * Admission control of the local backend server: admits requests and forwards them to the server.
 *
 * Each call of [forward] gets exactly one reply.
 */
class GuardService(
    private val state: TrafficState,
    private val contexts: ContextTable,
    private val connector: HttpConnector,
    private val metrics: TrafficMetrics,
    private val clock: Clock,
) : Service {
    override val name = "guard"
    private val log = Log("guard")
    private var guard = Guard(slots = 1, startedAtMs = 0)

    /** Number of requests forwarded to the server and not yet finished. */
    val inFlight: Int get() = guard.inFlight

    /** Maximum number of requests in flight at the server. */
    val concurrencyLimit: Int get() = guard.concurrencyLimit

    /** Applies an announcement; a server at a new address starts with a cold concurrency limit. */
    fun onAnnouncement(server: LocalServer, nowMs: Long) {
        val known = state.server
        if (known == null ||
            known.address != server.address
        ) {
            guard = Guard(server.info.slots, nowMs)
        } else {
            guard.updateSlots(server.info.slots)
        }
        state.server = server
    }

    /** Returns the refusal of [request] while this daemon drains or has no ready server of its service, otherwise null. */
    fun refusalIfUnavailable(request: ForwardRequest): Refusal? {
        val server = state.server
        return when {
            !state.serving -> Refusal.DRAINING
            server == null || !server.info.ready || server.info.service != request.service -> Refusal.NO_SERVER
            else -> null
        }
    }

    /** Runs [request] on the local server if it is admitted. Returns a function that cancels it. */
    fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit {
        val nowMs = clock.nowMs()
        val refusal = refusalIfUnavailable(request)
        if (refusal != null) return refuse(request, refusal, AdmissionThreshold.NONE, onReply)
        val decision = guard.decide(guardRequest(request, nowMs), nowMs)
        return when (decision) {
            is GuardDecision.Refuse -> refuse(request, decision.refusal, decision.threshold, onReply)
            is GuardDecision.Admit -> run(request, decision.threshold, nowMs, onReply)
        }
    }

    private fun guardRequest(request: ForwardRequest, nowMs: Long) =
        GuardRequest(Rank(request.rank), request.account, request.weight, request.depth, nowMs + request.timeoutMs)

    private fun refuse(
        request: ForwardRequest,
        refusal: Refusal,
        threshold: AdmissionThreshold,
        onReply: (ForwardReply) -> Unit,
    ): () -> Unit {
        log.decision { "refuse ${request.rootId} account=${request.account} reason=${refusal.wireName} cut=${threshold.minPosition}" }
        metrics.guardRefused(refusal)
        onReply(refusalReply(request, refusal, threshold).withLoad().build())
        return {}
    }

    private fun run(request: ForwardRequest, threshold: AdmissionThreshold, nowMs: Long, onReply: (ForwardReply) -> Unit): () -> Unit {
        val server = state.server!!
        log.decision { "admit ${request.rootId} account=${request.account} worth=${Rank(request.rank).worth} inflight=${guard.inFlight}" }
        state.inFlight++
        val context = contextOf(request, nowMs)
        val token = contexts.open(context)
        val startedNs = System.nanoTime()
        val running: Cancellable =
            connector.send(server.address, toServer(request, token), request.timeoutMs.toLong(), optionsFor(token)) { result ->
                state.inFlight--
                contexts.close(token)
                onReply(toReply(request, result, threshold, startedNs).withContext(context).withLoad().build())
            }
        return { running.cancel() }
    }

    /** On a connection that had carried another request, shedding counts only with the context of this one. */
    private fun optionsFor(token: String) =
        SendOptions { response, reused ->
            val attributed = !reused || response.header(HeaderNames.CONTEXT) == token
            if (response.isShed && !attributed) ResponseMatch.AMBIGUOUS else ResponseMatch.OWN
        }

    private val HttpResponse.isShed get() = status == SERVICE_UNAVAILABLE && header(HeaderNames.SHED) != null

    private fun toReply(request: ForwardRequest, result: HttpResult, threshold: AdmissionThreshold, startedNs: Long): ForwardReply.Builder =
        when (result) {
            is HttpResult.Answer -> onAnswer(request, result.response, threshold, startedNs)
            is HttpResult.NotSent -> {
                guard.onCancelled()
                refusalReply(request, Refusal.SERVER_UNREACHABLE, threshold)
            }
            is HttpResult.Lost -> {
                log.decision { "lost ${request.rootId} reason=${result.reason.name.lowercase()} detail=${result.detail}" }
                onLost(request, result.reason, threshold)
            }
        }

    private fun onAnswer(
        request: ForwardRequest,
        response: HttpResponse,
        threshold: AdmissionThreshold,
        startedNs: Long,
    ): ForwardReply.Builder {
        if (response.isShed) {
            guard.onShed()
            return refusalReply(request, Refusal.OVERLOADED, threshold)
        }
        guard.onAnswer((System.nanoTime() - startedNs) / NS_PER_MS)
        return answerReply(request, response, threshold)
    }

    private fun onLost(request: ForwardRequest, reason: LostReason, threshold: AdmissionThreshold): ForwardReply.Builder {
        if (reason == LostReason.TIMED_OUT) guard.onShed() else guard.onCancelled()
        val refusal =
            when (reason) {
                LostReason.TIMED_OUT, LostReason.CLOSED, LostReason.RESET, LostReason.CANCELLED -> Refusal.ANSWER_LOST
                LostReason.TRUNCATED, LostReason.MALFORMED -> Refusal.ANSWER_TRUNCATED
                LostReason.TOO_LARGE -> Refusal.ANSWER_TOO_LARGE
            }
        return refusalReply(request, refusal, threshold)
    }

    private fun contextOf(request: ForwardRequest, nowMs: Long): RequestContext {
        val known =
            state.view
                ?.configuration
                ?.accounts
                ?.get(request.account)
        val account = known ?: AccountConfig(request.account, ratePerSecond = 0.0, burst = 0.0, weight = request.weight)
        val ledger = RetryLedger(request.retryBudget)
        return RequestContext(request.rootId, Rank(request.rank), account, request.depth + 1, nowMs + request.timeoutMs, ledger)
    }

    private fun toServer(request: ForwardRequest, token: String): HttpRequest {
        val systemHeaders =
            buildList {
                add(HttpHeader(HeaderNames.CONTEXT, token))
                add(HttpHeader(HeaderNames.ACCOUNT, request.account))
                add(HttpHeader(HeaderNames.TIMEOUT_MS, request.timeoutMs.toString()))
                if (request.idempotencyKey.isNotEmpty()) add(HttpHeader(HeaderNames.IDEMPOTENCY_KEY, request.idempotencyKey))
            }
        return HttpRequest(
            request.method,
            request.uri,
            request.headersList.toHttp().forwardable() + systemHeaders,
            request.body.toByteArray(),
        )
    }

    private fun ForwardReply.Builder.withContext(context: RequestContext): ForwardReply.Builder =
        setRetriesSpent(context.ledger.spent).setCut(maxOf(cut, context.childThreshold.minPosition))

    private fun ForwardReply.Builder.withLoad(): ForwardReply.Builder = setInFlight(guard.inFlight).setLimit(guard.concurrencyLimit)

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val NS_PER_MS = 1_000_000.0
    }
}
