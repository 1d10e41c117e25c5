package wigeonreel.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpRequest
import wigeonreel.http.jsonResponse
import wigeonreel.selector.classify
import wigeonreel.selector.labelsOf
import wigeonreel.traffic.TrafficState

/** How a request with given properties is classified, whether it would be admitted, and the servers that could get it. */
@Serializable
data class Explanation(
    val service: String,
    val account: String,
    val rule: String,
    val worth: String,
    val harm: String,
    val open: Boolean,
    val servers: List<String>,
    val verdict: String,
)

/** Handles `/explain` of the admin API, which `wigeonctl explain` requests. */
internal class Explainer(
    private val state: TrafficState,
    private val clock: Clock,
) {
    fun explain(exchange: HttpExchange) =
        exchange.respond(jsonResponse(OK, Json.encodeToString(Explanation.serializer(), explanation(exchange.request))))

    private fun explanation(request: HttpRequest): Explanation {
        val serviceName = request.query("service").orEmpty()
        val accountName = request.query("account").orEmpty()
        val configuration = state.view?.configuration
        val service = configuration?.services?.get(serviceName)
        val account = configuration?.accounts?.get(accountName)
        if (configuration == null || service == null || account == null) return unknown(serviceName, accountName)
        val rules = configuration.classify(labelsOf(request.query("method") ?: "GET", request.query("path") ?: "/", service, account))
        val candidates = state.view?.candidatesOf(serviceName).orEmpty()
        return Explanation(
            service = serviceName,
            account = accountName,
            rule = rules.rule,
            worth = rules.worth.name.lowercase(),
            harm = rules.harm.name.lowercase(),
            open = rules.open,
            servers = candidates.map { "${it.daemon} (${it.distance.name.lowercase()})" },
            verdict = verdict(candidates.isNotEmpty()),
        )
    }

    private fun unknown(service: String, account: String) =
        Explanation(
            service,
            account,
            "",
            "",
            "",
            open = false,
            emptyList(),
            "refused: the service or the account is not in the configuration in force",
        )

    private fun verdict(hasServers: Boolean): String =
        when {
            !state.serving -> "refused: this daemon is leaving"
            state.isolated(clock.nowMs()) -> "refused: this daemon hears neither the store nor a peer"
            !hasServers -> "refused: no backend server of the service is ready"
            else -> "admitted while the account has tokens and the servers have room; the nearest server of the list is preferred"
        }

    private companion object {
        const val OK = 200
    }
}
