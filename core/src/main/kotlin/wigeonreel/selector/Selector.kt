package wigeonreel.selector

/** Labels of one request, including those of its client account and of the service that it addresses. */
typealias Labels = Map<String, String>

/** Condition on the labels of a request. */
sealed interface Selector {
    /** Returns whether [labels] satisfy this condition. */
    fun matches(labels: Labels): Boolean

    /** The label has the value [value]. */
    data class Equals(
        val label: String,
        val value: String,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label] == value
    }

    /** The label is missing or has another value. */
    data class NotEquals(
        val label: String,
        val value: String,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label] != value
    }

    /** The value of the label starts with [prefix]. */
    data class StartsWith(
        val label: String,
        val prefix: String,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label]?.startsWith(prefix) == true
    }

    /** The label has one of [values]. */
    data class OneOf(
        val label: String,
        val values: Set<String>,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label] in values
    }

    /** All [conditions] are satisfied; an empty list always matches. */
    data class All(
        val conditions: List<Selector>,
    ) : Selector {
        override fun matches(labels: Labels) = conditions.all { it.matches(labels) }
    }
}
