package wigeonreel.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** One event of a request's story, from a daemon's structured log. */
internal data class TracedEvent(
    val timeMs: Long,
    val event: String,
    val fields: Map<String, String>,
)

/** Story of one request: its events in order of time, and the one that decided its end, or null when it went well. */
internal data class RequestTrace(
    val events: List<TracedEvent>,
    val deciding: TracedEvent?,
)

/** Finds the story of the request [id] in log [lines] of any daemons; other text before a line's JSON is passed over. */
internal fun traceRequest(lines: Sequence<String>, id: String): RequestTrace {
    val events =
        lines
            .mapNotNull { parseEvent(it) }
            .filter { it.fields["id"] == id }
            .sortedBy { it.timeMs }
            .toList()
    return RequestTrace(events, events.firstOrNull { it.decides() })
}

/** Returns the trace as lines for a person. */
internal fun RequestTrace.toText(): String {
    if (events.isEmpty()) return "no line names this request; one in 64 of the requests that went well is logged"
    val startedMs = events.first().timeMs
    val story =
        events.map { event ->
            "+${event.timeMs - startedMs} ms ${event.event} ${event.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }}"
        }
    val cause = deciding?.let { "decided by: ${it.event} ${it.fields["reason"] ?: it.fields["outcome"]}" } ?: "the request went well"
    return (story + cause).joinToString("\n")
}

/** The first refusal or failure on the way is the cause of the later ones. */
private fun TracedEvent.decides(): Boolean {
    val outcome = fields["outcome"] ?: return event == "refuse" || event == "caller-left"
    return !outcome.startsWith("status 2") && !outcome.startsWith("status-2")
}

private fun parseEvent(line: String): TracedEvent? {
    val json = line.substring(line.indexOf('{').coerceAtLeast(0))
    val parsed =
        try {
            Json.parseToJsonElement(json) as? JsonObject
        } catch (_: SerializationException) {
            // Logs hold other lines too; those that are no JSON tell nothing of a request.
            null
        }
    val timeMs = parsed?.get("timeMs")?.jsonPrimitive?.longOrNull ?: return null
    val event = (parsed["event"] as? JsonPrimitive)?.content ?: return null
    val fields = parsed.filterKeys { it != "timeMs" && it != "event" }.mapValues { (it.value as? JsonPrimitive)?.content.orEmpty() }
    return TracedEvent(timeMs, event, fields)
}
