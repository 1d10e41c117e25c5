package wigeonreel.admin

import arrow.core.Either
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import wigeonreel.config.ConfigDocument
import wigeonreel.config.ConfigEdit
import wigeonreel.config.toJson
import wigeonreel.control.ControlService
import wigeonreel.control.WriteResult
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpResponse
import wigeonreel.http.jsonResponse
import wigeonreel.http.textResponse

/** Configuration change requested by an operator, based on [expectedVersion]. */
@Serializable
data class ChangeRequest(
    val expectedVersion: Long? = null,
    val edits: List<ConfigEdit>,
)

/**
 * Response to a [ChangeRequest] or an invalid request.
 *
 * @param state `accepted` (stored and received in each failure domain), `stored`, `planned`, `refused`, `not stored` or `unknown`.
 * @param unconfirmed failure domains that have not confirmed receipt.
 */
@Serializable
data class ChangeAnswer(
    val state: String,
    val version: Long = 0,
    val message: String = "",
    val unconfirmed: List<String> = emptyList(),
)

/** Member of the fleet as shown to operators. */
@Serializable
data class MemberStatus(
    val id: String,
    val state: String,
    val place: String,
    val service: String?,
    val ready: Boolean,
)

/**
 * Status of one daemon.
 *
 * @param provenAgoMs time since the configuration version in force was last known to be the stored one, in milliseconds.
 */
@Serializable
data class DaemonStatus(
    val id: String,
    val configVersion: Long,
    val provenAgoMs: Long,
    val drain: String,
    val inFlight: Int,
    val concurrencyLimit: Int,
    val executionRecords: Int,
    val shares: Int,
    val gossipSentBytes: Long,
    val gossipReceivedBytes: Long,
    val members: List<MemberStatus>,
)

/** Actions of the daemon that the admin API needs. */
interface AdminActions {
    /** Passes the daemon's status to [onStatus]. */
    fun status(onStatus: (DaemonStatus) -> Unit)

    /** Starts draining the daemon. */
    fun drain()

    /** Waits for each failure domain to confirm [version] or for a timeout; [onUnconfirmed] receives those that did not confirm. */
    fun confirm(version: Long, onUnconfirmed: (List<String>) -> Unit)

    /** Responds to [exchange] with how the request described by its query would be handled. */
    fun explain(exchange: HttpExchange)
}

/** HTTP API for operators and `wigeonctl`. */
class AdminApi(
    private val control: ControlService,
    private val metrics: PrometheusMeterRegistry,
    private val actions: AdminActions,
) : HttpHandler {
    private val json = Json { encodeDefaults = true }

    override fun handle(exchange: HttpExchange) =
        when (exchange.request.path) {
            "/metrics" -> exchange.respond(textResponse(OK, metrics.scrape()))
            "/status" -> actions.status { exchange.respond(jsonResponse(OK, json.encodeToString(DaemonStatus.serializer(), it))) }
            "/config" -> exchange.respond(jsonResponse(OK, configJson()))
            "/config/plan" -> withChange(exchange) { plan(exchange, it) }
            "/config/apply" -> withChange(exchange) { apply(exchange, it) }
            "/drain" -> drain(exchange)
            "/explain" -> actions.explain(exchange)
            else ->
                exchange.respond(
                    error(NOT_FOUND, "no such path; use /metrics, /status, /config, /config/plan, /config/apply, /drain, /explain"),
                )
        }

    override fun reject(fault: HttpFault): HttpResponse = error(BAD_REQUEST, "send well-formed HTTP within the limits ($fault)")

    private fun configJson(): String {
        val current = control.config.replica.current
        return ConfigDocument(current.version, entries = current.entries.values.sortedBy { it.name }).toJson()
    }

    private fun withChange(exchange: HttpExchange, action: (ChangeRequest) -> Unit) {
        val text = exchange.request.body.decodeToString()
        Either
            .catchOrThrow<SerializationException, ChangeRequest> { json.decodeFromString(text) }
            .fold({ exchange.respond(error(BAD_REQUEST, "the change can't be read; send expectedVersion and edits as JSON")) }, action)
    }

    private fun plan(exchange: HttpExchange, change: ChangeRequest) {
        val planned =
            control.config.replica.current
                .plan(change.edits)
        val answer = planned.fold({ ChangeAnswer("refused", message = it.message) }, { ChangeAnswer("planned", it.version) })
        exchange.respond(answer(answer))
    }

    private fun apply(exchange: HttpExchange, change: ChangeRequest) {
        control.config.write(change.edits, change.expectedVersion) { result ->
            when (result) {
                is WriteResult.Stored -> confirm(exchange, result.version)
                is WriteResult.Refused -> exchange.respond(answer(ChangeAnswer("refused", message = result.error.message)))
                is WriteResult.NotStored -> exchange.respond(answer(ChangeAnswer("not stored", message = result.error.message)))
                is WriteResult.Unknown -> exchange.respond(answer(ChangeAnswer("unknown", message = result.error.message)))
            }
        }
    }

    private fun confirm(exchange: HttpExchange, version: Long) =
        actions.confirm(version) { unconfirmed ->
            val state = if (unconfirmed.isEmpty()) "accepted" else "stored"
            val message = if (unconfirmed.isEmpty()) "" else "not yet confirmed everywhere; look at 'wigeonctl status' and the region link"
            exchange.respond(answer(ChangeAnswer(state, version, message, unconfirmed)))
        }

    private fun drain(exchange: HttpExchange) {
        actions.drain()
        exchange.respond(jsonResponse(OK, """{"state":"draining"}"""))
    }

    private fun answer(answer: ChangeAnswer) =
        jsonResponse(if (answer.state in SUCCESS_STATES) OK else CONFLICT, json.encodeToString(ChangeAnswer.serializer(), answer))

    private fun error(status: Int, remedy: String) =
        jsonResponse(status, json.encodeToString(ChangeAnswer.serializer(), ChangeAnswer("refused", message = remedy)))

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        val SUCCESS_STATES = setOf("accepted", "planned", "stored")
    }
}
