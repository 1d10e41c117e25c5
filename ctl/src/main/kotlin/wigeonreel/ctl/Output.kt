package wigeonreel.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Formats the JSON [text] as one `path value` pair per line. */
internal fun toLines(text: String): String = buildString { Json.parseToJsonElement(text).appendLines("", this) }.trimEnd()

private fun JsonElement.appendLines(path: String, out: StringBuilder) {
    when (this) {
        is JsonObject -> forEach { (name, value) -> value.appendLines(if (path.isEmpty()) name else "$path.$name", out) }
        is JsonArray -> forEachIndexed { index, value -> value.appendLines("$path[$index]", out) }
        is JsonPrimitive -> out.appendLine("$path ${this.content}")
    }
}
