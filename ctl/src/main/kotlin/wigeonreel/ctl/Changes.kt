package wigeonreel.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import wigeonreel.config.AccountConfig
import wigeonreel.config.ConfigDocument
import wigeonreel.config.ConfigEdit
import wigeonreel.config.KeyConfig
import wigeonreel.config.ServiceConfig
import wigeonreel.key.KeyHash

/** Request body of a configuration change at the admin API. */
@Serializable
internal data class Change(
    val expectedVersion: Long? = null,
    val edits: List<ConfigEdit>,
)

private val json = Json { encodeDefaults = true }

/** Returns the edit that grants [key] to [account]. It contains only the hash of the key; the key itself never leaves this process. */
internal fun grantKey(account: String, key: String): ConfigEdit {
    val hash = KeyHash.of(key).hex
    return ConfigEdit("key/$hash", json.encodeToString(KeyConfig.serializer(), KeyConfig(hash, account)))
}

/** Returns the edit that withdraws [key]. */
internal fun withdrawKey(key: String): ConfigEdit = ConfigEdit("key/${KeyHash.of(key).hex}", null)

/** Returns the edit that sets the label [label] of the account or service entry [name] to [value], or null if there is no such entry. */
internal fun setLabel(document: ConfigDocument, name: String, label: String, value: String): ConfigEdit? {
    val found = document.entries.firstOrNull { it.name == name }?.value ?: return null
    return when (name.substringBefore('/')) {
        "account" ->
            json.decodeFromString<AccountConfig>(found).let {
                ConfigEdit(
                    name,
                    json.encodeToString(
                        AccountConfig.serializer(),
                        it.copy(
                            labels =
                                it.labels + (label to value),
                        ),
                    ),
                )
            }
        "service" ->
            json.decodeFromString<ServiceConfig>(found).let {
                ConfigEdit(
                    name,
                    json.encodeToString(
                        ServiceConfig.serializer(),
                        it.copy(
                            labels =
                                it.labels + (label to value),
                        ),
                    ),
                )
            }
        else -> null
    }
}

/** Parses lines `name = JSON value`, or `name =` to remove an entry. Returns the edits and the first malformed line, or null. */
internal fun parseEdits(text: String): Pair<List<ConfigEdit>, String?> {
    val edits = mutableListOf<ConfigEdit>()
    for (line in text.lines().map { it.trim() }.filter { it.isNotEmpty() && !it.startsWith("#") }) {
        val name = line.substringBefore('=').trim()
        if ('=' !in line || '/' !in name) return edits to line
        edits += ConfigEdit(name, line.substringAfter('=').trim().ifEmpty { null })
    }
    return edits to null
}

internal fun Change.toJson(): String = json.encodeToString(Change.serializer(), this)
