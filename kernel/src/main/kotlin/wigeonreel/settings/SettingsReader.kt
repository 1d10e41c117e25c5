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
 * Reads a TOML file key by key and gathers all faults, so that an operator sees them at once.
 *
 * A faulty key yields a placeholder; [readSettings] discards the result when there was any fault.
 */
class SettingsReader internal constructor(
    private val file: String,
    private val table: TomlTable,
) {
    private val read = mutableSetOf<String>()
    internal val errors = mutableListOf<SettingsError>()

    /** Returns the text of [key], or [default]; without a default the key must be there. */
    fun text(key: String, default: String? = null, expected: String = "a text"): String =
        value(key, default, expected) { it as? String }.orEmpty()

    /** Returns the text of [key], or null when it is absent. */
    fun optionalText(key: String): String? = if (table.contains(key)) text(key) else null.also { read += key }

    /** Returns the whole number of [key] within [range], or [default]. */
    fun whole(key: String, range: LongRange, default: Long? = null): Long =
        value(key, default, "a whole number from ${range.first} to ${range.last}") { found -> (found as? Long)?.takeIf { it in range } }
            ?: range.first

    /** Returns the port number of [key], or [default]. */
    fun port(key: String, default: Long? = null): Int = whole(key, PORTS, default).toInt()

    /** Returns the truth value of [key], or [default]. */
    fun flag(key: String, default: Boolean): Boolean = value(key, default, "true or false") { it as? Boolean } ?: default

    /** Notes that [key] has a value that is not allowed. */
    fun reject(key: String, expected: String) {
        errors += SettingsError.Invalid(file, key, show(table.get(key)), expected)
    }

    internal fun finish() {
        table.dottedKeySet().filter { it !in read }.forEach { errors += SettingsError.Unknown(file, it) }
    }

    private fun <T> value(key: String, default: T?, expected: String, convert: (Any) -> T?): T? {
        read += key
        val found = table.get(key)
        if (found == null) {
            if (default == null) errors += SettingsError.Missing(file, key, expected)
            return default
        }
        return convert(found).also { if (it == null) reject(key, expected) }
    }

    private fun show(found: Any?) = if (found is String) "'$found'" else found.toString()

    private companion object {
        val PORTS = 1L..65_535L
    }
}

/** Reads [path] by [build]; returns the settings or all faults. */
fun <T> readSettings(path: Path, build: SettingsReader.() -> T): Either<List<SettingsError>, T> =
    Either
        .catchOrThrow<IOException, String> { Files.readString(path) }
        .fold(
            { listOf(SettingsError.Unreadable(path.toString(), it.javaClass.simpleName)).left() },
            { parseSettings(path.toString(), it, build) },
        )

/** Reads TOML [text]; [file] stands in the messages. */
fun <T> parseSettings(file: String, text: String, build: SettingsReader.() -> T): Either<List<SettingsError>, T> {
    val toml = Toml.parse(text)
    if (toml.hasErrors()) return toml.errors().map { SettingsError.Syntax(file, it.position().line(), it.message.orEmpty()) }.left()
    val reader = SettingsReader(file, toml)
    val settings = reader.build()
    reader.finish()
    return if (reader.errors.isEmpty()) settings.right() else reader.errors.toList().left()
}
