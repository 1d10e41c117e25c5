package wigeonreel.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Importance of a request in ascending order; the least important requests are shed first. */
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

/** Whether a request may be executed more than once. */
@Serializable
enum class Harm {
    @SerialName("none")
    IDEMPOTENT,

    @SerialName("once")
    AT_MOST_ONCE,
}

/**
 * Client account with its fleet-wide rate limit; [ratePerSecond] and [burst] count requests, and a rate of 0 means no limit.
 *
 * @param priority priority of the account's requests, 0 is the highest; null applies the priority of the route.
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

/** Granted key: its hash and the account that it authenticates. */
@Serializable
data class KeyConfig(
    val hash: String,
    val account: String,
)

/** Service that callers may address. */
@Serializable
data class ServiceConfig(
    val name: String,
    val labels: Map<String, String> = emptyMap(),
)

/**
 * Rule that assigns worth and harm to the requests that match a selector.
 *
 * @param order position of the rule; rules are evaluated in ascending order and the first match applies.
 * @param harm whether a matching request may be executed more than once; null derives it from the HTTP method.
 * @param open whether requests without a key are accepted.
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

/** Target service of a route; [weight] is its relative share of the route's requests. */
@Serializable
data class RouteTarget(
    val service: String,
    val weight: Double = 1.0,
)

/**
 * Route from a host and a path prefix to services.
 *
 * @param timeoutMs maximum time that a request waits for its final answer.
 * @param objectiveMs target latency, within which an answer has its full value.
 * @param priority priority among the routes, 0 is the highest.
 * @param attempts maximum number of servers that one request may be sent to.
 * @param open whether requests without a key are accepted.
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

/** Requested change of one entry; a null [value] removes the entry. */
@Serializable
data class ConfigEdit(
    val name: String,
    val value: String? = null,
)
