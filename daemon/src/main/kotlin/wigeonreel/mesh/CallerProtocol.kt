package wigeonreel.mesh

import arrow.core.Either
import wigeonreel.config.AccountConfig
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.ResponseMatch
import wigeonreel.outcome.Refusal

/**
 * Caller's request as parsed by a [CallerProtocol].
 *
 * @param id id of this attempt, chosen by the caller.
 * @param key client account's key, or null if none was sent.
 * @param timeoutMs time that the caller waits for the response, in milliseconds, or null if it sent none.
 */
class CallerRequest(
    val id: String,
    val host: String,
    val key: String?,
    val timeoutMs: Long?,
    val http: HttpRequest,
)

/** Platform-specific protocol between callers and the mesh. */
interface CallerProtocol {
    /** Parses [request], or returns the refusal for a request that can't be parsed. */
    fun read(request: HttpRequest): Either<Refusal, CallerRequest>

    /** Returns the headers for the backend server: the caller's own without its key, and those that the mesh sets. */
    fun headersFor(request: CallerRequest, account: AccountConfig?): List<HttpHeader>

    /** Returns the response for [refusal]; [retryAfterMs] is the time until the caller may retry, 0 if unknown. */
    fun refusal(refusal: Refusal, retryAfterMs: Int): HttpResponse
}

/** Meaning of a backend server's response for the request. */
enum class ServerVerdict {
    /** The server ran the request and succeeded, or failed because of the request itself. */
    SERVED,

    /** The server ran the request and failed. */
    FAILED,

    /** The response carries no proof that it is the server's complete response. */
    UNVERIFIED,

    /** The server rejected the request without running it. */
    NOT_RUN,

    /** Another server listens at this address; the request was not run. */
    OTHER_SERVER,
}

/** Platform-specific protocol between the mesh and backend servers. */
interface ServerProtocol {
    /** Returns [request] in the form sent to the server [instance], which must respond within [leftMs] milliseconds. */
    fun request(request: HttpRequest, instance: String, leftMs: Long): HttpRequest

    /**
     * Returns the relation of [response] to the attempt [id]; a server may send a response twice or late.
     *
     * @param reused whether the connection had carried another request.
     */
    fun match(id: String, response: HttpResponse, reused: Boolean): ResponseMatch

    /** Returns what [response] means for its request. */
    fun verdict(response: HttpResponse): ServerVerdict
}
