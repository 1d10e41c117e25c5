package wigeonreel.mesh

import arrow.core.Either
import wigeonreel.config.AccountConfig
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.outcome.Refusal

/**
 * Request of a caller, read from its protocol.
 *
 * @param id identity of this attempt, chosen by the caller.
 * @param key client account's key, or null when none was sent.
 * @param waitMs time that the caller waits for the answer, or null when it does not say.
 */
class CallerRequest(
    val id: String,
    val host: String,
    val key: String?,
    val waitMs: Long?,
    val http: HttpRequest,
)

/** How callers speak to the mesh; varies with the platform. */
interface CallerProtocol {
    /** Reads a request, or tells why it can't be read. */
    fun read(request: HttpRequest): Either<Refusal, CallerRequest>

    /** Returns the headers for the backend server: what the caller sent, without its key, and what the system sets itself. */
    fun headersFor(request: CallerRequest, account: AccountConfig?): List<HttpHeader>

    /** Returns the answer that tells a refusal; [retryAfterMs] is when to come back, 0 for unknown. */
    fun refusal(refusal: Refusal, retryAfterMs: Int): HttpResponse
}

/** What a backend server's answer says about the request. */
enum class ServerVerdict {
    /** The server ran the request and succeeded, or failed for a reason in the request. */
    SERVED,

    /** The server ran the request and failed. */
    FAILED,

    /** The answer bears no proof that it is the server's whole answer. */
    SPOILED,

    /** The server turned the request away and has not run it. */
    NOT_RUN,

    /** Another server is at this address; the request was not run. */
    OTHER_SERVER,
}

/** How the mesh speaks to backend servers; varies with the platform. */
interface ServerProtocol {
    /** Returns [request] as it is sent to the server [instance], which has [leftMs] to answer. */
    fun request(request: HttpRequest, instance: String, leftMs: Long): HttpRequest

    /** Returns whether [response] answers the attempt [id]; a server may send answers twice or late. */
    fun belongs(id: String, response: HttpResponse): Boolean

    /** Judges an answer. */
    fun verdict(response: HttpResponse): ServerVerdict
}
