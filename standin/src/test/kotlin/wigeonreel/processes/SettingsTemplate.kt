package wigeonreel.processes

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private val SECTION = Regex("""\{\{#([^}]+)}}(.*?)\{\{/\1}}""", RegexOption.DOT_MATCHES_ALL)
private val VALUE = Regex("""\{\{([^}#^/|]+)(\|json)?}}""")

/** Renders the settings template of a daemon as the platform does: values, `|json`, and sections over lists and tables. */
fun renderTemplate(template: String, fields: JsonObject): String {
    val withSections = SECTION.replace(template) { renderSection(it.groupValues[2], find(fields, it.groupValues[1])) }
    return VALUE.replace(withSections) { match ->
        val value = find(fields, match.groupValues[1])
        if (match.groupValues[2].isEmpty()) (value as? JsonPrimitive)?.content.orEmpty() else value.toString()
    }
}

private fun renderSection(body: String, collection: JsonElement?): String {
    val entries =
        when (collection) {
            is JsonObject -> collection.entries.map { it.key to it.value }
            is JsonArray -> collection.mapIndexed { index, value -> index.toString() to value }
            else -> emptyList()
        }
    return entries
        .mapIndexed { index, (key, value) ->
            body
                .replace("{{.}}", (value as? JsonPrimitive)?.content.orEmpty())
                .replace("{{@}}", key)
                .replace("{{,}}", if (index < entries.lastIndex) "," else "")
        }.joinToString("")
}

private fun find(from: JsonElement, path: String): JsonElement? =
    path.split('.').fold(from as JsonElement?) { at, name ->
        when (at) {
            is JsonObject -> at[name]
            is JsonArray -> at.getOrNull(name.toInt())
            else -> null
        }
    }
