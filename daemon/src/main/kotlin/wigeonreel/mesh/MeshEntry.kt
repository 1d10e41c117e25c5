package wigeonreel.mesh

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import wigeonreel.admission.EntryThrottle
import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration
import wigeonreel.config.RouteConfig
import wigeonreel.daemon.Clock
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpResponse
import wigeonreel.kernel.Service
import wigeonreel.key.KeyHash
import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal
import wigeonreel.routing.WeightedSplit
import wigeonreel.traffic.refusal

/** Entry point for requests from callers on this VM and for calls that the local backend server makes. */
class MeshEntry(
    private val state: MeshState,
    private val protocol: CallerProtocol,
    private val quota: MeshQuota,
    private val sender: MeshSender,
    private val guard: MeshGuard,
    private val events: MeshEvents,
    private val clock: Clock,
) : Service,
    HttpHandler {
    override val name = "entry"
    private val split = WeightedSplit()
    private val throttle = EntryThrottle()

    override fun handle(exchange: HttpExchange) {
        val nowMs = clock.nowMs()
        protocol.read(exchange.request).fold({ refuse(exchange, null, it) }, { process(exchange, it, nowMs) })
    }

    override fun reject(fault: HttpFault): HttpResponse {
        events.refused(null, fault.refusal)
        return protocol.refusal(fault.refusal, 0)
    }

    private fun process(exchange: HttpExchange, request: CallerRequest, nowMs: Long) =
        validate(request, exchange.receivingMs, nowMs)
            .fold({ refuse(exchange, request, it, retryAfterMs(it, nowMs)) }, { admit(exchange, it) })

    /** A caller that knows no other daemon can retry once this one has been restarted. */
    private fun retryAfterMs(refusal: Refusal, nowMs: Long): Int =
        if (refusal == Refusal.DRAINING) state.remainingGraceMs(nowMs).toInt() else refusal.retryAfterMs

    private fun admit(exchange: HttpExchange, call: MeshCall) {
        val account = call.account ?: return sendBackendCall(exchange, call)
        var aborted = false
        exchange.onAbort { aborted = true }
        quota.admit(account) { withinLimit ->
            when {
                aborted && withinLimit -> quota.refund(account)
                aborted -> Unit
                withinLimit -> sendClientRequest(exchange, call, account)
                else -> refuse(exchange, call.request, Refusal.OVER_RATE, quota.retryAfterMs(account), account)
            }
        }
    }

    /** The caller waits for [CallerRequest.timeoutMs] from when it sends the head, which arrived [receivingMs] ago. */
    private fun validate(request: CallerRequest, receivingMs: Long, nowMs: Long): Either<Refusal, MeshCall> =
        either {
            val view = ensureNotNull(state.view) { Refusal.ISOLATED }
            ensure(request.key == null || !state.isolated(nowMs)) { Refusal.ISOLATED }
            val route = ensureNotNull(view.configuration.routes.find(request.host, request.http.path)) { Refusal.ROUTE_UNKNOWN }
            val account = accountOf(request, route, view.configuration).bind()
            val leftMs = request.timeoutMs?.let { (it - receivingMs).coerceAtLeast(0) } ?: route.timeoutMs
            val timeoutMs = minOf(leftMs, route.timeoutMs)
            ensure(state.accepts(timeoutMs, nowMs)) { Refusal.DRAINING }
            val headers = protocol.headersFor(request, account)
            MeshCall(request, route, split.next(route), account, headers, account == null, nowMs, nowMs + timeoutMs)
        }

    /** Returns the client account of [request], null for an open route without a key. A key is checked on open routes too. */
    private fun accountOf(request: CallerRequest, route: RouteConfig, configuration: Configuration): Either<Refusal, AccountConfig?> =
        when {
            request.key != null -> configuration.accountOf(KeyHash.of(request.key))?.right() ?: Refusal.KEY_INVALID.left()
            route.open -> null.right()
            else -> Refusal.KEY_MISSING.left()
        }

    private fun sendClientRequest(exchange: HttpExchange, call: MeshCall, account: AccountConfig) {
        if (!throttle.admits(call.route.name, call.priority, clock.nowMs())) {
            quota.refund(account)
            return refuse(exchange, call.request, Refusal.OVERLOADED, THROTTLED_RETRY_AFTER_MS, account)
        }
        send(exchange, call.representing(throttle.representedRequests(call.route.name))) { result, usage ->
            throttle.onLoads(usage.loads, clock.nowMs())
            if (result is MeshResult.Answered && result.response.status < SERVER_ERROR) throttle.onServed(call.route.name, usage.uses)
        }
    }

    /** Sends a call of the local server. Its caller is looked up by the deadline that the server set, before the route shortens it. */
    private fun sendBackendCall(exchange: HttpExchange, call: MeshCall) {
        val timeoutMs = call.request.timeoutMs
        val caller = if (timeoutMs == null) null else guard.callerOf(call.arrivedAtMs + timeoutMs)
        send(exchange, caller?.let { call.representing(it.representedRequests, it.isRetry) } ?: call) { result, usage ->
            guard.onBackendCall(caller, usage, overloaded = result is MeshResult.Refused && result.refusal == Refusal.OVERLOADED)
        }
    }

    private fun send(exchange: HttpExchange, call: MeshCall, onDone: (MeshResult, CallUsage) -> Unit) {
        val cancel =
            sender.send(call) { result, usage ->
                onDone(result, usage)
                answer(exchange, call, result)
            }
        exchange.onAbort {
            events.callerLeft(call, clock.nowMs())
            cancel()
        }
    }

    private fun answer(exchange: HttpExchange, call: MeshCall, result: MeshResult) {
        events.answered(call, result, clock.nowMs())
        when (result) {
            is MeshResult.Answered -> exchange.respond(result.response, close = state.leaving)
            is MeshResult.Refused -> {
                if (result.refusal.ran == Ran.NOT_RUN && call.account != null) quota.refund(call.account)
                exchange.respond(protocol.refusal(result.refusal, result.retryAfterMs), close = state.leaving)
            }
        }
    }

    private fun refuse(
        exchange: HttpExchange,
        request: CallerRequest?,
        refusal: Refusal,
        retryAfterMs: Int = refusal.retryAfterMs,
        account: AccountConfig? = null,
    ) {
        events.refused(request, refusal, account?.name)
        exchange.respond(protocol.refusal(refusal, retryAfterMs), close = state.leaving || refusal == Refusal.KEY_INVALID)
    }

    private companion object {
        const val SERVER_ERROR = 500

        /** Retry-After of a request that was shed at the entry point, in milliseconds; the demand may have changed by then. */
        const val THROTTLED_RETRY_AFTER_MS = 800
    }
}
