package wigeonreel.traffic

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpResponse
import wigeonreel.http.jsonResponse
import wigeonreel.outcome.Refusal

/** JSON body of a refusal response. */
@Serializable
data class RefusalBody(
    val kind: String,
    val outcome: String,
    val remedy: String,
    val retryAfterMs: Int,
    val idempotencyKey: String? = null,
)

private val json = Json { explicitNulls = false }
private const val MS_PER_SECOND = 1_000

/** Returns the HTTP response for this refusal, with [mintedKey] as the idempotency key that the caller can use. */
fun Refusal.toResponse(retryAfterMs: Int = this.retryAfterMs, mintedKey: String? = null): HttpResponse {
    val body = RefusalBody(wireName, ran.wireName, remedy, retryAfterMs, mintedKey)
    val headers =
        buildList {
            add(HttpHeader(HeaderNames.OUTCOME, ran.wireName.replace(' ', '-')))
            if (retryAfterMs > 0) add(HttpHeader("Retry-After", ((retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toString()))
            if (mintedKey != null) add(HttpHeader(HeaderNames.IDEMPOTENCY_KEY, mintedKey))
        }
    return jsonResponse(status, json.encodeToString(RefusalBody.serializer(), body), headers)
}

/** Refusal that corresponds to this HTTP parsing fault. */
internal val HttpFault.refusal: Refusal
    get() =
        when (this) {
            HttpFault.MALFORMED -> Refusal.MALFORMED_REQUEST
            HttpFault.HEADERS_TOO_LARGE -> Refusal.HEADERS_TOO_LARGE
            HttpFault.BODY_TOO_LARGE -> Refusal.BODY_TOO_LARGE
            HttpFault.INTERNAL_ERROR -> Refusal.ANSWER_LOST
        }
