package wigeonreel.selector

/** Labels of one request: of the request itself, its client account and the service that it names. */
typealias Labels = Map<String, String>

/** Condition over labels. */
sealed interface Selector {
    /** Returns whether [labels] satisfy this condition. */
    fun matches(labels: Labels): Boolean

    /** The label has the given value. */
    data class Equals(
        val label: String,
        val value: String,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label] == value
    }

    /** The label is missing or has another value. */
    data class Differs(
        val label: String,
        val value: String,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label] != value
    }

    /** The label starts with the given text. */
    data class StartsWith(
        val label: String,
        val prefix: String,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label]?.startsWith(prefix) == true
    }

    /** The label has one of the given values. */
    data class OneOf(
        val label: String,
        val values: Set<String>,
    ) : Selector {
        override fun matches(labels: Labels) = labels[label] in values
    }

    /** All conditions hold; an empty list always holds. */
    data class All(
        val conditions: List<Selector>,
    ) : Selector {
        override fun matches(labels: Labels) = conditions.all { it.matches(labels) }
    }
}
