package wigeonreel.standin

import io.netty.channel.EventLoopGroup
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import wigeonreel.http.Cancellable
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import wigeonreel.http.jsonResponse
import wigeonreel.http.textResponse
import java.util.concurrent.TimeUnit

/**
 * Counters of a backend server, by which a run checks for double executions and leaked keys.
 *
 * @param doubleRuns requests whose client account and `Idempotency-Key` had been executed before.
 * @param keysSeen requests that carried a client account's key, which a daemon must not forward.
 * @param shed requests that were refused because all slots were in use.
 * @param byAccount executed requests by client account.
 */
@Serializable
data class BackendReport(
    val service: String,
    val runs: Long,
    val doubleRuns: Long,
    val keysSeen: Long,
    val shed: Long,
    val byAccount: Map<String, Long>,
)

/**
 * Backend server with a fixed number of slots and a fixed service time. It calls the next service through its own daemon.
 *
 * The response echoes the `X-Request-Id` of the request, so that a caller can detect a response that is incomplete or not its own.
 */
class BackendStandin(
    private val settings: BackendSettings,
    private val loop: EventLoopGroup,
    private val connector: HttpConnector,
) : HttpHandler {
    private var inFlight = 0
    private var slowFactor = 1.0
    private var ready = true
    private var runs = 0L
    private var doubleRuns = 0L
    private var keysSeen = 0L
    private var shed = 0L
    private val executedKeys = HashSet<String>()
    private val byAccount = HashMap<String, Long>()

    /** Starts to announce this server to its daemon periodically. */
    fun start() {
        loop.scheduleAtFixedRate(::announce, 0, ANNOUNCE_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    override fun handle(exchange: HttpExchange) {
        when (exchange.request.path) {
            "/_standin/report" -> exchange.respond(jsonResponse(OK, Json.encodeToString(BackendReport.serializer(), report())))
            "/_standin/fault" -> setFault(exchange)
            else -> serve(exchange)
        }
    }

    override fun reject(fault: HttpFault): HttpResponse = textResponse(BAD_REQUEST, "malformed request")

    private fun report() = BackendReport(settings.service, runs, doubleRuns, keysSeen, shed, byAccount.toMap())

    private fun setFault(exchange: HttpExchange) {
        slowFactor = exchange.request.query("slow")?.toDoubleOrNull() ?: slowFactor
        ready = exchange.request.query("ready")?.toBooleanStrictOrNull() ?: ready
        exchange.respond(textResponse(OK, "slow=$slowFactor ready=$ready"))
    }

    private fun serve(exchange: HttpExchange) {
        if (inFlight >= settings.slots) {
            shed++
            val context = exchange.request.header("Wigeon-Context")?.let { HttpHeader("Wigeon-Context", it) }
            return exchange.respond(HttpResponse(UNAVAILABLE, listOfNotNull(HttpHeader("Wigeon-Shed", "true"), context)))
        }
        countRequest(exchange.request)
        inFlight++
        val completion = loop.schedule({ complete(exchange) }, (settings.serviceMs * slowFactor).toLong(), TimeUnit.MILLISECONDS)
        exchange.onAbort {
            if (completion.cancel(false)) inFlight--
        }
    }

    private fun countRequest(request: HttpRequest) {
        runs++
        if (request.headers.any { it.name.equals("Wigeon-Key", ignoreCase = true) }) keysSeen++
        request.header("Wigeon-Account")?.let { byAccount.merge(it, 1, Long::plus) }
        val key = request.header("Idempotency-Key") ?: return
        if (!executedKeys.add("${request.header("Wigeon-Account")}/$key")) doubleRuns++
    }

    private fun complete(exchange: HttpExchange) {
        val nextService = settings.nextService
        if (nextService == null) return finish(exchange, okResponse(exchange.request, settings.service))
        val headers =
            listOfNotNull(
                HttpHeader("Wigeon-Service", nextService),
                exchange.request.header("Wigeon-Context")?.let { HttpHeader("Wigeon-Context", it) },
                exchange.request.header("X-Request-Id")?.let { HttpHeader("X-Request-Id", it) },
            )
        val timeoutMs = exchange.request.header("Wigeon-Timeout-Ms")?.toLongOrNull() ?: DEFAULT_TIMEOUT_MS
        val nextCall: Cancellable =
            connector.send(settings.daemonAddress, HttpRequest("GET", "/from/${settings.service}", headers), timeoutMs) { result ->
                finish(exchange, toResponse(exchange.request, result))
            }
        exchange.onAbort { nextCall.cancel() }
    }

    private fun toResponse(request: HttpRequest, result: HttpResult): HttpResponse =
        when (result) {
            is HttpResult.Answer ->
                if (result.response.status ==
                    OK
                ) {
                    okResponse(request, "${settings.service}>${result.response.text}")
                } else {
                    failedResponse()
                }
            is HttpResult.NotSent, is HttpResult.Lost -> failedResponse()
        }

    private fun okResponse(request: HttpRequest, text: String): HttpResponse {
        val id = request.header("X-Request-Id").orEmpty()
        return HttpResponse(OK, listOf(HttpHeader("X-Request-Id", id)), text.encodeToByteArray())
    }

    private fun failedResponse() = textResponse(BAD_GATEWAY, "the next service gave no answer")

    private fun finish(exchange: HttpExchange, response: HttpResponse) {
        inFlight--
        exchange.respond(response)
    }

    private fun announce() {
        val body = """{"service":"${settings.service}","address":"${settings.address}","slots":${settings.slots},"ready":$ready}"""
        val request = HttpRequest("POST", "/_wigeon/announce", body = body.encodeToByteArray())
        connector.send(settings.daemonAddress, request, ANNOUNCE_INTERVAL_MS) { }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val ANNOUNCE_INTERVAL_MS = 1_000L
        const val DEFAULT_TIMEOUT_MS = 5_000L
    }
}
