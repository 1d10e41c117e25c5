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

/** What a backend server saw, by which a run checks the promises made to it. */
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
 * Backend server with slots and a fixed service time, which calls the next service through its own daemon.
 *
 * The answer repeats the request's `X-Request-Id`, so that a caller can tell whether it is its own and whole.
 */
class BackendStandin(
    private val settings: BackendSettings,
    private val loop: EventLoopGroup,
    private val connector: HttpConnector,
) : HttpHandler {
    private var running = 0
    private var slowFactor = 1.0
    private var ready = true
    private var runs = 0L
    private var doubleRuns = 0L
    private var keysSeen = 0L
    private var shed = 0L
    private val executed = HashSet<String>()
    private val byAccount = HashMap<String, Long>()

    /** Starts to announce itself to its daemon. */
    fun start() {
        loop.scheduleAtFixedRate(::announce, 0, ANNOUNCE_MS, TimeUnit.MILLISECONDS)
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
        if (running >= settings.slots) {
            shed++
            return exchange.respond(HttpResponse(UNAVAILABLE, listOf(HttpHeader("Wigeon-Shed", "true"))))
        }
        note(exchange.request)
        running++
        val working = loop.schedule({ work(exchange) }, (settings.serviceMs * slowFactor).toLong(), TimeUnit.MILLISECONDS)
        exchange.onAbort {
            if (working.cancel(false)) running--
        }
    }

    private fun note(request: HttpRequest) {
        runs++
        if (request.headers.any { it.name.equals("Wigeon-Key", ignoreCase = true) }) keysSeen++
        request.header("Wigeon-Account")?.let { byAccount.merge(it, 1, Long::plus) }
        val key = request.header("Idempotency-Key") ?: return
        if (!executed.add("${request.header("Wigeon-Account")}/$key")) doubleRuns++
    }

    private fun work(exchange: HttpExchange) {
        val next = settings.next
        if (next == null) return finish(exchange, ok(exchange.request, settings.service))
        val headers =
            listOfNotNull(
                HttpHeader("Wigeon-Service", next),
                exchange.request.header("Wigeon-Context")?.let { HttpHeader("Wigeon-Context", it) },
                exchange.request.header("X-Request-Id")?.let { HttpHeader("X-Request-Id", it) },
            )
        val timeoutMs = exchange.request.header("Wigeon-Timeout-Ms")?.toLongOrNull() ?: DEFAULT_TIMEOUT_MS
        val calling: Cancellable =
            connector.send(settings.daemonLocal, HttpRequest("GET", "/from/${settings.service}", headers), timeoutMs) { result ->
                finish(exchange, toAnswer(exchange.request, result))
            }
        exchange.onAbort { calling.cancel() }
    }

    private fun toAnswer(request: HttpRequest, result: HttpResult): HttpResponse =
        when (result) {
            is HttpResult.Answer ->
                if (result.response.status ==
                    OK
                ) {
                    ok(request, "${settings.service}>${result.response.text}")
                } else {
                    failed()
                }
            is HttpResult.NotSent, is HttpResult.Lost -> failed()
        }

    private fun ok(request: HttpRequest, text: String): HttpResponse {
        val id = request.header("X-Request-Id").orEmpty()
        return HttpResponse(OK, listOf(HttpHeader("X-Request-Id", id)), text.encodeToByteArray())
    }

    private fun failed() = textResponse(BAD_GATEWAY, "the next service gave no answer")

    private fun finish(exchange: HttpExchange, response: HttpResponse) {
        running--
        exchange.respond(response)
    }

    private fun announce() {
        val body = """{"service":"${settings.service}","address":"${settings.address}","slots":${settings.slots},"ready":$ready}"""
        val request = HttpRequest("POST", "/_wigeon/announce", body = body.encodeToByteArray())
        connector.send(settings.daemonLocal, request, ANNOUNCE_MS) { }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val ANNOUNCE_MS = 1_000L
        const val DEFAULT_TIMEOUT_MS = 5_000L
    }
}
