package wigeonreel.settings

/** Error in a settings file; the message contains the file, the key, the value found and the remedy. */
sealed interface SettingsError {
    val message: String

    /** The file can't be read. */
    data class Unreadable(
        val file: String,
        val reason: String,
    ) : SettingsError {
        override val message get() = "$file: can't be read ($reason); give the path of a readable TOML file"
    }

    /** The text is not valid TOML; [found] is the parser's message. */
    data class Syntax(
        val file: String,
        val line: Int,
        val found: String,
    ) : SettingsError {
        override val message get() = "$file:$line: $found; write it as TOML"
    }

    /** A required key is missing. */
    data class Missing(
        val file: String,
        val key: String,
        val expected: String,
    ) : SettingsError {
        override val message get() = "$file: $key is missing; set it to $expected"
    }

    /** The value of a key has the wrong type or is not allowed. */
    data class Invalid(
        val file: String,
        val key: String,
        val found: String,
        val expected: String,
    ) : SettingsError {
        override val message get() = "$file: $key is $found; set it to $expected"
    }

    /** A key does not belong to any setting. */
    data class Unknown(
        val file: String,
        val key: String,
    ) : SettingsError {
        override val message get() = "$file: $key is not a setting; remove it or correct its name"
    }
}
