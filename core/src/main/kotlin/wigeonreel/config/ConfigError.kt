package wigeonreel.config

/** Reason for the refusal of a configuration change; [message] includes the remedy. */
sealed interface ConfigError {
    val message: String

    /** The name of the entry starts with an unknown kind. */
    data class UnknownKind(
        val entry: String,
    ) : ConfigError {
        override val message
            get() = "$entry: no such kind of entry; use account/, key/, service/ or rule/ and a name (home/ and seat/ are the daemons')"
    }

    /** The value of the entry can't be parsed as its kind. */
    data class BadValue(
        val entry: String,
        val found: String,
    ) : ConfigError {
        override val message get() = "$entry: the value can't be read ($found); give the JSON shown by 'wigeonctl config get'"
    }

    /** The value of the entry violates [rule]. */
    data class OutOfRange(
        val entry: String,
        val rule: String,
    ) : ConfigError {
        override val message get() = "$entry: $rule"
    }

    /** A key names an account that is not configured. */
    data class NoSuchAccount(
        val entry: String,
        val account: String,
    ) : ConfigError {
        override val message get() = "$entry: account '$account' is not configured; add account/$account first"
    }

    /** The stored version is not the expected one, because another change was written first. */
    data class VersionConflict(
        val expected: Long,
        val found: Long,
    ) : ConfigError {
        override val message get() = "version $found is stored, not $expected; read it, plan again and apply again"
    }
}
