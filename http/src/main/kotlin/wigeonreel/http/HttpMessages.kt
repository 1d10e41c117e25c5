package wigeonreel.http

import java.util.TreeSet

/** Header field of an HTTP message. */
data class HttpHeader(
    val name: String,
    val value: String,
)

/** HTTP request with its complete body. */
class HttpRequest(
    val method: String,
    val uri: String,
    val headers: List<HttpHeader> = emptyList(),
    val body: ByteArray = EMPTY_BODY,
) {
    /** Path without the query. */
    val path: String get() = uri.substringBefore('?')

    /** Returns the first value of the header [name], or null. */
    fun header(name: String): String? = headers.valueOf(name)

    /** Returns the value of the query parameter [name], or null. */
    fun query(name: String): String? =
        uri
            .substringAfter('?', "")
            .split('&')
            .firstOrNull { it.startsWith("$name=") }
            ?.substringAfter('=')
}

/** HTTP response with its complete body. */
class HttpResponse(
    val status: Int,
    val headers: List<HttpHeader> = emptyList(),
    val body: ByteArray = EMPTY_BODY,
) {
    /** Returns the first value of the header [name], or null. */
    fun header(name: String): String? = headers.valueOf(name)

    /** Body as UTF-8 text. */
    val text: String get() = body.decodeToString()
}

/** Outcome of a request sent by an [HttpConnector]. */
sealed interface HttpResult {
    /** A complete response was received. */
    class Answer(
        val response: HttpResponse,
    ) : HttpResult

    /** The request was not sent, so it can't have reached the server. */
    data class NotSent(
        val reason: String,
    ) : HttpResult

    /** The request may have reached the server, but no complete response was received; [detail] tells what was wrong with it, if known. */
    data class Lost(
        val reason: LostReason,
        val detail: String? = null,
    ) : HttpResult
}

/** Reason for which no complete response was received. */
enum class LostReason { TIMED_OUT, CLOSED, RESET, TRUNCATED, MALFORMED, TOO_LARGE, CANCELLED }

val EMPTY_BODY: ByteArray = ByteArray(0)

/** Returns the first value of the header [name], or null. */
fun List<HttpHeader>.valueOf(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

/** Returns [names] as a case-insensitive set. */
fun headerNames(names: Iterable<String>): Set<String> = names.toCollection(TreeSet(String.CASE_INSENSITIVE_ORDER))

/** Returns a response with a JSON body. */
fun jsonResponse(status: Int, json: String, headers: List<HttpHeader> = emptyList()): HttpResponse =
    HttpResponse(status, headers + HttpHeader("Content-Type", "application/json"), json.encodeToByteArray())

/** Returns a response with a plain text body. */
fun textResponse(status: Int, text: String): HttpResponse =
    HttpResponse(status, listOf(HttpHeader("Content-Type", "text/plain; charset=utf-8")), text.encodeToByteArray())
