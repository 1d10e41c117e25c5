package wigeonreel.mesh

import com.google.protobuf.ByteString
import wigeonreel.admission.Arrival
import wigeonreel.admission.ServiceLoad
import wigeonreel.admission.ServiceUse
import wigeonreel.config.AccountConfig
import wigeonreel.config.Harm
import wigeonreel.config.RouteConfig
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpResponse
import wigeonreel.outcome.Refusal
import wigeonreel.traffic.toWire
import wigeonreel.wire.ForwardRequest

/**
 * Request that passed validation at the entry point.
 *
 * @param headers headers for the backend server.
 * @param fromBackend whether the local backend server makes this call.
 * @param deadlineMs time by which the caller receives the final response, in milliseconds.
 * @param representedRequests number of requests that this one stands for; see [Arrival.representedRequests].
 * @param isRetry whether the call is made for a request that was retried.
 */
class MeshCall(
    val request: CallerRequest,
    val route: RouteConfig,
    val service: String,
    val account: AccountConfig?,
    val headers: List<HttpHeader>,
    val fromBackend: Boolean,
    val arrivedAtMs: Long,
    val deadlineMs: Long,
    val representedRequests: Double = 1.0,
    val isRetry: Boolean = false,
) {
    val atMostOnce: Boolean get() = route.harm == Harm.AT_MOST_ONCE

    /** Rank by the priority of the account, if it has one, and then of the route; 0 is the most urgent. */
    val priority: Int
        get() = (account?.priority ?: route.priority) * ROUTE_PRIORITIES + route.priority.coerceIn(0, ROUTE_PRIORITIES - 1)

    /** Returns this call as one that stands for [requests] requests and is made for a retried one if [isRetry]. */
    fun representing(requests: Double, isRetry: Boolean = false) =
        MeshCall(request, route, service, account, headers, fromBackend, arrivedAtMs, deadlineMs, requests, isRetry)

    /** Returns the message for one attempt, with the time left until the deadline as its timeout. */
    fun toForwardRequest(attemptId: String, earlier: EarlierAttempts, nowMs: Long): ForwardRequest =
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
            .setDepth(if (fromBackend) 1 else 0)
            .setTimeoutMs((deadlineMs - nowMs).coerceAtLeast(0).toInt())
            .setPriority(priority)
            .setAtMostOnce(atMostOnce)
            .setObjectiveMs(route.objectiveMs.toInt())
            .setRoute(route.name)
            .setRepresentedRequests(if (earlier == EarlierAttempts.NONE) representedRequests.toFloat() else 0f)
            .setIsRetry(isRetry || earlier == EarlierAttempts.MAY_HAVE_RUN)
            .build()

    private companion object {
        /** Number of route priorities that are told apart. */
        const val ROUTE_PRIORITIES = 16
    }
}

/** What became of the earlier attempts of a call. */
enum class EarlierAttempts { NONE, NOT_RUN, MAY_HAVE_RUN }

/** Final result of a [MeshCall]. */
sealed interface MeshResult {
    /** A backend server's complete response. */
    class Answered(
        val response: HttpResponse,
    ) : MeshResult

    /** Refusal instead of a backend server's response; [retryAfterMs] is 0 if unknown. */
    data class Refused(
        val refusal: Refusal,
        val retryAfterMs: Int,
    ) : MeshResult
}

/** What a call used of the services below it, and how loaded these are. */
class CallUsage(
    val uses: List<ServiceUse>,
    val loads: List<ServiceLoad>,
)
