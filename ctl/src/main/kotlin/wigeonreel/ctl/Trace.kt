package wigeonreel.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** One event of a request in the structured log of a daemon. */
internal data class TracedEvent(
    val timeMs: Long,
    val event: String,
    val fields: Map<String, String>,
)

/** Events of one request in order of time, and the event that decided its failure, or null if it succeeded. */
internal data class RequestTrace(
    val events: List<TracedEvent>,
    val decidingEvent: TracedEvent?,
)

/** Collects the events of the request [id] from log [lines] of any number of daemons. Text before the JSON of a line is ignored. */
internal fun traceRequest(lines: Sequence<String>, id: String): RequestTrace {
    val events =
        lines
            .mapNotNull { parseEvent(it) }
            .filter { it.fields["id"] == id }
            .sortedBy { it.timeMs }
            .toList()
    return RequestTrace(events, events.firstOrNull { it.isFailure() })
}

/** Formats the trace as one line per event and a last line with the outcome. */
internal fun RequestTrace.toText(): String {
    if (events.isEmpty()) return "no log line has this request id; only one in 64 successful requests is logged"
    val startedMs = events.first().timeMs
    val timeline =
        events.map { event ->
            "+${event.timeMs - startedMs} ms ${event.event} ${event.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }}"
        }
    val cause = decidingEvent?.let { "decided by: ${it.event} ${it.fields["reason"] ?: it.fields["outcome"]}" } ?: "the request succeeded"
    return (timeline + cause).joinToString("\n")
}

/** Returns whether this event is a refusal or a failure. The first such event of a request causes the later ones. */
private fun TracedEvent.isFailure(): Boolean {
    val outcome = fields["outcome"] ?: return event == "refuse" || event == "caller-left"
    return !outcome.startsWith("status 2") && !outcome.startsWith("status-2")
}

private fun parseEvent(line: String): TracedEvent? {
    val json = line.substring(line.indexOf('{').coerceAtLeast(0))
    val parsed =
        try {
            Json.parseToJsonElement(json) as? JsonObject
        } catch (_: SerializationException) {
            // Logs also contain lines that are not JSON, such as those of other programs.
            null
        }
    val timeMs = parsed?.get("timeMs")?.jsonPrimitive?.longOrNull ?: return null
    val event = (parsed["event"] as? JsonPrimitive)?.content ?: return null
    val fields = parsed.filterKeys { it != "timeMs" && it != "event" }.mapValues { (it.value as? JsonPrimitive)?.content.orEmpty() }
    return TracedEvent(timeMs, event, fields)
}
