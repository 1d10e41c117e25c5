package wigeonreel.config

/** Reasons for which a configuration change is refused; each message names the remedy. */
sealed interface ConfigError {
    val message: String

    /** The entry name has no known kind. */
    data class UnknownKind(
        val entry: String,
    ) : ConfigError {
        override val message
            get() = "$entry: no such kind of entry; use account/, key/, service/ or rule/ and a name (home/ and seat/ are the daemons')"
    }

    /** The entry's value can't be read as its kind. */
    data class BadValue(
        val entry: String,
        val found: String,
    ) : ConfigError {
        override val message get() = "$entry: the value can't be read ($found); give the JSON shown by 'wigeonctl config get'"
    }

    /** The entry's value is outside what is allowed. */
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

    /** Another operator's change came first. */
    data class VersionConflict(
        val expected: Long,
        val found: Long,
    ) : ConfigError {
        override val message get() = "version $found is stored, not $expected; read it, plan again and apply again"
    }
}
