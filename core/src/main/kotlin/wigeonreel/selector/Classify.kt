package wigeonreel.selector

import wigeonreel.config.AccountConfig
import wigeonreel.config.Configuration
import wigeonreel.config.Harm
import wigeonreel.config.Rule
import wigeonreel.config.ServiceConfig
import wigeonreel.config.Worth

/** Classification of one request by the rules. */
data class Classification(
    val rule: String,
    val worth: Worth,
    val harm: Harm,
    val open: Boolean,
)

private val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "OPTIONS", "TRACE")

/** Returns the labels of a request; account labels are omitted if [account] is null. */
fun labelsOf(method: String, path: String, service: ServiceConfig, account: AccountConfig? = null): Labels =
    buildMap {
        put("request.method", method)
        put("request.path", path)
        put("service", service.name)
        service.labels.forEach { (label, value) -> put("service.$label", value) }
        if (account != null) {
            put("account", account.name)
            account.labels.forEach { (label, value) -> put("account.$label", value) }
        }
    }

/**
 * Returns the classification by the first matching rule.
 *
 * Without a matching rule, or if the rule sets no harm, only safe HTTP methods count as idempotent.
 */
fun Configuration.classify(labels: Labels): Classification {
    val default = if (labels["request.method"] in IDEMPOTENT_METHODS) Harm.IDEMPOTENT else Harm.AT_MOST_ONCE
    val rule = rules.firstOrNull { it.selector.matches(labels) } ?: return Classification("default", Worth.NORMAL, default, open = false)
    return rule.toClassification(default)
}

private fun Rule.toClassification(default: Harm) = Classification(config.name, config.worth, config.harm ?: default, config.open)
