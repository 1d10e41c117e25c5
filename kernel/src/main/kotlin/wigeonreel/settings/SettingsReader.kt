package wigeonreel.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.tomlj.Toml
import org.tomlj.TomlTable
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reads a TOML file key by key and collects all errors, so that an operator sees them together.
 *
 * A missing or invalid key yields a placeholder; [readSettings] discards the result if there was any error.
 */
class SettingsReader internal constructor(
    private val file: String,
    private val table: TomlTable,
) {
    private val readKeys = mutableSetOf<String>()
    internal val errors = mutableListOf<SettingsError>()

    /** Returns the string at [key], or [default]; the key is required if there is no default. */
    fun text(key: String, default: String? = null, expected: String = "a text"): String =
        value(key, default, expected) { it as? String }.orEmpty()

    /** Returns the string at [key], or null if the key is absent. */
    fun optionalText(key: String): String? = if (table.contains(key)) text(key) else null.also { readKeys += key }

    /** Returns the integer at [key], which must be within [range], or [default]. */
    fun integer(key: String, range: LongRange, default: Long? = null): Long =
        value(key, default, "a whole number from ${range.first} to ${range.last}") { found -> (found as? Long)?.takeIf { it in range } }
            ?: range.first

    /** Returns the port number at [key], or [default]. */
    fun port(key: String, default: Long? = null): Int = integer(key, PORTS, default).toInt()

    /** Returns the boolean at [key], or [default]. */
    fun flag(key: String, default: Boolean): Boolean = value(key, default, "true or false") { it as? Boolean } ?: default

    /** Records an error: the value at [key] is not allowed, and [expected] describes the allowed values. */
    fun reject(key: String, expected: String) {
        errors += SettingsError.Invalid(file, key, format(table.get(key)), expected)
    }

    internal fun reportUnknownKeys() {
        table.dottedKeySet().filter { it !in readKeys }.forEach { errors += SettingsError.Unknown(file, it) }
    }

    private fun <T> value(key: String, default: T?, expected: String, convert: (Any) -> T?): T? {
        readKeys += key
        val found = table.get(key)
        if (found == null) {
            if (default == null) errors += SettingsError.Missing(file, key, expected)
            return default
        }
        return convert(found).also { if (it == null) reject(key, expected) }
    }

    private fun format(found: Any?) = if (found is String) "'$found'" else found.toString()

    private companion object {
        val PORTS = 1L..65_535L
    }
}

/** Reads the TOML file at [path] with [build]; returns the settings, or all errors found. */
fun <T> readSettings(path: Path, build: SettingsReader.() -> T): Either<List<SettingsError>, T> =
    Either
        .catchOrThrow<IOException, String> { Files.readString(path) }
        .fold(
            { listOf(SettingsError.Unreadable(path.toString(), it.javaClass.simpleName)).left() },
            { parseSettings(path.toString(), it, build) },
        )

/** Parses the TOML [text] with [build]; [file] is the file name in error messages. */
fun <T> parseSettings(file: String, text: String, build: SettingsReader.() -> T): Either<List<SettingsError>, T> {
    val toml = Toml.parse(text)
    if (toml.hasErrors()) return toml.errors().map { SettingsError.Syntax(file, it.position().line(), it.message.orEmpty()) }.left()
    val reader = SettingsReader(file, toml)
    val settings = reader.build()
    reader.reportUnknownKeys()
    return if (reader.errors.isEmpty()) settings.right() else reader.errors.toList().left()
}
