package wigeonreel.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Worth of a request, least important first; the least important is shed first. */
@Serializable
enum class Worth {
    @SerialName("background")
    BACKGROUND,

    @SerialName("normal")
    NORMAL,

    @SerialName("important")
    IMPORTANT,

    @SerialName("critical")
    CRITICAL,
}

/** Whether a request may be run more than once. */
@Serializable
enum class Harm {
    @SerialName("none")
    IDEMPOTENT,

    @SerialName("once")
    AT_MOST_ONCE,
}

/**
 * Client account with its fleet-wide limit; [ratePerSecond] and [burst] count requests, a rate of 0 means no limit.
 *
 * @param priority rank of the account's requests, 0 is the most urgent; null leaves it to the route.
 */
@Serializable
data class AccountConfig(
    val name: String,
    val ratePerSecond: Double,
    val burst: Double,
    val weight: Double = 1.0,
    val labels: Map<String, String> = emptyMap(),
    val priority: Int? = null,
)

/** Granted key: its hash and the account that it stands for. */
@Serializable
data class KeyConfig(
    val hash: String,
    val account: String,
)

/** Service that callers may name. */
@Serializable
data class ServiceConfig(
    val name: String,
    val labels: Map<String, String> = emptyMap(),
)

/**
 * Rule that says what requests matching a selector are worth and what harm a repeat does.
 *
 * @param order rules are tried in ascending order; the first that matches decides.
 * @param open whether requests without a key are let in.
 */
@Serializable
data class RuleConfig(
    val name: String,
    val order: Int,
    val selector: String,
    val worth: Worth = Worth.NORMAL,
    val harm: Harm? = null,
    val open: Boolean = false,
)

/** Service that a route leads to, with its share of the route's requests. */
@Serializable
data class RouteTarget(
    val service: String,
    val weight: Double = 1.0,
)

/**
 * Route from a host and a path prefix to services.
 *
 * @param timeoutMs longest time that a request is kept waiting for its final answer.
 * @param objectiveMs time within which an answer has its full worth.
 * @param priority rank among the routes, 0 is the most urgent.
 * @param attempts most servers that one request may be sent to.
 * @param open whether requests without a key are let in.
 */
@Serializable
data class RouteConfig(
    val name: String,
    val host: String,
    val prefix: String,
    val targets: List<RouteTarget>,
    val harm: Harm,
    val timeoutMs: Long,
    val objectiveMs: Long,
    val priority: Int,
    val attempts: Int,
    val open: Boolean,
)

/** One versioned entry of the configuration; a null [value] is the tombstone of a removed entry. */
@Serializable
data class ConfigEntry(
    val name: String,
    val value: String? = null,
    val version: Long,
)

/** Edit that an operator asks for; a null [value] removes the entry. */
@Serializable
data class ConfigEdit(
    val name: String,
    val value: String? = null,
)
