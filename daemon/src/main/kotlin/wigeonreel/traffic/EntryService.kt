package wigeonreel.traffic

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import wigeonreel.admission.Rank
import wigeonreel.admission.ThresholdTable
import wigeonreel.config.AccountConfig
import wigeonreel.config.Harm
import wigeonreel.daemon.Clock
import wigeonreel.daemon.TrafficSettings
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.kernel.Log
import wigeonreel.kernel.Service
import wigeonreel.key.checkKey
import wigeonreel.once.HomeBinding
import wigeonreel.once.IdempotencyKey
import wigeonreel.once.mintKey
import wigeonreel.once.parseIdempotencyKey
import wigeonreel.outcome.Refusal
import wigeonreel.retry.RetryLedger
import wigeonreel.selector.Classification
import wigeonreel.selector.classify
import wigeonreel.selector.labelsOf
import java.security.SecureRandom
import java.util.concurrent.ThreadLocalRandom

/**
 * Entry point of requests: checks client account key, rules, deadline and rate limit, and dispatches accepted requests.
 *
 * A request from a caller is the root of a new request tree; a request that the local backend server makes with a valid
 * context joins the tree of that context.
 */
class EntryService(
    private val settings: TrafficSettings,
    private val state: TrafficState,
    private val contexts: ContextTable,
    private val limits: LimitService,
    private val dispatcher: Dispatcher,
    private val metrics: TrafficMetrics,
    private val clock: Clock,
) : Service {
    override val name = "entry"
    private val log = Log("entry")
    private val thresholds = ThresholdTable()
    private val random = SecureRandom()

    /** Handler of the listener for callers. */
    val callerHandler: HttpHandler =
        object : HttpHandler {
            override fun handle(exchange: HttpExchange) = receive(exchange, null)

            override fun reject(fault: HttpFault) = rejectionResponse(fault)
        }

    /** Handles a request from the local backend server; without a context header it is treated as a request from a caller. */
    fun handleLocal(exchange: HttpExchange) {
        val token = exchange.request.header(HeaderNames.CONTEXT) ?: return receive(exchange, null)
        val context = contexts.find(token) ?: return refuse(exchange, Refusal.CONTEXT_INVALID)
        receive(exchange, context)
    }

    /** Returns the response to a request that failed HTTP parsing or exceeded a size limit. */
    fun rejectionResponse(fault: HttpFault): HttpResponse {
        metrics.entryRefused(fault.refusal)
        return fault.refusal.toResponse()
    }

    private fun receive(exchange: HttpExchange, parent: RequestContext?) {
        accept(exchange.request, parent, clock.nowMs()).fold({ refuse(exchange, it) }, { checkRateLimit(exchange, it, parent != null) })
    }

    /** Dispatches [call]; only the root of a request tree counts against the account's rate limit. */
    private fun checkRateLimit(exchange: HttpExchange, call: Call, hasParent: Boolean) {
        if (hasParent) return send(exchange, call)
        limits.admit(call.context.account) { admitted -> if (admitted) send(exchange, call) else refuse(exchange, Refusal.OVER_RATE) }
    }

    private fun send(exchange: HttpExchange, call: Call) {
        val startedNs = System.nanoTime()
        state.inFlight++
        val cancel =
            dispatcher.send(call) { result ->
                state.inFlight--
                thresholds.learn(call.stream, result.threshold, clock.nowMs())
                answer(exchange, call, result, startedNs)
            }
        exchange.onAbort {
            state.inFlight -= if (call.classification.harm == Harm.AT_MOST_ONCE) 0 else 1
            cancel()
        }
    }

    private fun answer(exchange: HttpExchange, call: Call, result: CallResult, startedNs: Long) {
        log.decision { "done ${call.context.rootId} account=${call.context.account.name} result=${result.javaClass.simpleName}" }
        when (result) {
            is CallResult.Answered -> {
                metrics.answered(System.nanoTime() - startedNs)
                exchange.respond(result.response)
            }
            is CallResult.Refused -> refuse(exchange, result.refusal, result.retryAfterMs)
        }
    }

    private fun refuse(exchange: HttpExchange, refusal: Refusal, retryAfterMs: Int = refusal.retryAfterMs) {
        metrics.entryRefused(refusal)
        log.decision { "refuse ${exchange.request.path} reason=${refusal.wireName}" }
        val minted = if (refusal == Refusal.IDEMPOTENCY_KEY_MISSING) mint(exchange.request) else null
        exchange.respond(refusal.toResponse(retryAfterMs, minted), close = refusal == Refusal.KEY_INVALID || !state.serving)
    }

    private fun accept(request: HttpRequest, parent: RequestContext?, nowMs: Long): Either<Refusal, Call> =
        either {
            val view = ensureNotNull(state.view) { Refusal.ISOLATED }
            ensure(state.serving || parent != null) { Refusal.DRAINING }
            ensure(!state.isolated(nowMs) || parent != null) { Refusal.ISOLATED }
            val serviceName = ensureNotNull(request.header(HeaderNames.SERVICE)) { Refusal.SERVICE_MISSING }
            val service = ensureNotNull(view.configuration.services[serviceName]) { Refusal.UNKNOWN_SERVICE }
            val open = view.configuration.classify(labelsOf(request.method, request.path, service)).open
            val account = parent?.account ?: checkKey(request.header(HeaderNames.KEY), open, view.configuration).bind()
            val rules = view.configuration.classify(labelsOf(request.method, request.path, service, account))
            val context = parent ?: newContext(request, rules, account, nowMs).bind()
            ensure(context.deadlineMs > nowMs) { Refusal.DEADLINE_PASSED }
            val key = idempotencyKey(request, rules).bind()
            val call = Call(request, serviceName, rules, context, key)
            ensure(parent == null || context.ledger.admitCall(call.fingerprint)) { Refusal.RETRIES_SPENT }
            ensure(thresholds.admits(call.stream, context.rank, nowMs)) { Refusal.OVERLOADED }
            call
        }

    private fun newContext(
        request: HttpRequest,
        rules: Classification,
        account: AccountConfig,
        nowMs: Long,
    ): Either<Refusal, RequestContext> =
        timeoutOf(request).map { timeoutMs ->
            val rootId = java.lang.Long.toHexString(ThreadLocalRandom.current().nextLong())
            RequestContext(rootId, Rank.of(rules.worth, rootId), account, 0, nowMs + timeoutMs, RetryLedger(settings.retryBudget))
        }

    private fun timeoutOf(request: HttpRequest): Either<Refusal, Long> {
        val text = request.header(HeaderNames.TIMEOUT_MS) ?: return settings.defaultTimeoutMs.right()
        return text.toLongOrNull()?.takeIf { it in TIMEOUT_RANGE_MS }?.right() ?: Refusal.DEADLINE_INVALID.left()
    }

    private fun idempotencyKey(request: HttpRequest, rules: Classification): Either<Refusal, IdempotencyKey?> {
        if (rules.harm == Harm.IDEMPOTENT) return null.right()
        val text = request.header(HeaderNames.IDEMPOTENCY_KEY) ?: return Refusal.IDEMPOTENCY_KEY_MISSING.left()
        return text.right().flatMap { parseIdempotencyKey(it) }
    }

    /** Returns a new idempotency key bound to a random one of the nearest servers of the service, or null if there is none. */
    private fun mint(request: HttpRequest): String? {
        val view = state.view ?: return null
        val homes = view.candidatesOf(request.header(HeaderNames.SERVICE).orEmpty())
        if (homes.isEmpty()) return null
        val nearest = homes.filter { it.distance == homes.first().distance }
        val home = view.member(nearest[random.nextInt(nearest.size)].daemon) ?: return null
        return mintKey(HomeBinding(home.id, home.incarnation), clock.nowMs(), random.nextLong(), random.nextLong()).text
    }

    private companion object {
        val TIMEOUT_RANGE_MS = 1L..600_000L
    }
}
