package wigeonreel.settings

/** Fault in a settings file; the message names file, key, what was found and the remedy. */
sealed interface SettingsError {
    val message: String

    /** The file can't be read. */
    data class Unreadable(
        val file: String,
        val reason: String,
    ) : SettingsError {
        override val message get() = "$file: can't be read ($reason); give the path of a readable TOML file"
    }

    /** The text is no TOML. */
    data class Syntax(
        val file: String,
        val line: Int,
        val found: String,
    ) : SettingsError {
        override val message get() = "$file:$line: $found; write it as TOML"
    }

    /** A key that must be there is missing. */
    data class Missing(
        val file: String,
        val key: String,
        val expected: String,
    ) : SettingsError {
        override val message get() = "$file: $key is missing; set it to $expected"
    }

    /** A key's value is not what it must be. */
    data class Invalid(
        val file: String,
        val key: String,
        val found: String,
        val expected: String,
    ) : SettingsError {
        override val message get() = "$file: $key is $found; set it to $expected"
    }

    /** A key that no setting has. */
    data class Unknown(
        val file: String,
        val key: String,
    ) : SettingsError {
        override val message get() = "$file: $key is not a setting; remove it or correct its name"
    }
}
