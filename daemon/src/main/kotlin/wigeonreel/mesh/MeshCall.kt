package wigeonreel.mesh

import com.google.protobuf.ByteString
import wigeonreel.config.AccountConfig
import wigeonreel.config.Harm
import wigeonreel.config.RouteConfig
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpResponse
import wigeonreel.outcome.Refusal
import wigeonreel.traffic.toWire
import wigeonreel.wire.ForwardRequest

/**
 * Request that was accepted at an entry.
 *
 * @param headers headers for the backend server.
 * @param begun whether it is a call that the local backend server makes.
 * @param deadlineMs time by which the caller has its final answer.
 */
class MeshCall(
    val request: CallerRequest,
    val route: RouteConfig,
    val service: String,
    val account: AccountConfig?,
    val headers: List<HttpHeader>,
    val begun: Boolean,
    val arrivedAtMs: Long,
    val deadlineMs: Long,
) {
    val atMostOnce: Boolean get() = route.harm == Harm.AT_MOST_ONCE

    private val priority: Int get() = account?.priority ?: route.priority

    /** Returns the message of one attempt. */
    fun toAttempt(attemptId: String, nowMs: Long): ForwardRequest =
        ForwardRequest
            .newBuilder()
            .setAttemptId(attemptId)
            .setRootId(request.id)
            .setService(service)
            .setAccount(account?.name.orEmpty())
            .setMethod(request.http.method)
            .setUri(request.http.uri)
            .addAllHeaders(headers.toWire())
            .setBody(ByteString.copyFrom(request.http.body))
            .setDepth(if (begun) 1 else 0)
            .setTimeoutMs((deadlineMs - nowMs).coerceAtLeast(0).toInt())
            .setPriority(priority)
            .setAtMostOnce(atMostOnce)
            .setObjectiveMs(route.objectiveMs.toInt())
            .setRoute(route.name)
            .build()
}

/** What became of a [MeshCall]. */
sealed interface MeshResult {
    /** The backend server's whole answer. */
    class Answered(
        val response: HttpResponse,
    ) : MeshResult

    /** No answer of a backend server. */
    data class Refused(
        val refusal: Refusal,
        val retryAfterMs: Int,
    ) : MeshResult
}
