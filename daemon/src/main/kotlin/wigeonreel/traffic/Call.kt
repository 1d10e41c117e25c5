package wigeonreel.traffic

import com.google.protobuf.ByteString
import wigeonreel.admission.AdmissionThreshold
import wigeonreel.admission.ServiceStream
import wigeonreel.admission.Stream
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.once.IdempotencyKey
import wigeonreel.outcome.Refusal
import wigeonreel.selector.Classification
import wigeonreel.wire.ForwardRequest

/** Request from a caller or from the local backend server that passed the checks of the entry and is ready to be sent. */
class Call(
    val request: HttpRequest,
    val service: String,
    val classification: Classification,
    val context: RequestContext,
    val key: IdempotencyKey?,
) {
    /** Stream under which the admission threshold of this call is stored; calls under different rules may reach different services. */
    val stream = ServiceStream("$service/${classification.rule}", Stream(context.rank.worth, context.account.name))

    /** Fingerprint that identifies repeated calls within one request tree. */
    val fingerprint: Int get() = 31 * (31 * service.hashCode() + request.method.hashCode()) + request.uri.hashCode()

    /** Returns the forward message of one attempt, which may make up to [retryBudget] retries in its subtree. */
    fun toForwardRequest(attemptId: String, retryBudget: Int, nowMs: Long): ForwardRequest =
        ForwardRequest
            .newBuilder()
            .setAttemptId(attemptId)
            .setRootId(context.rootId)
            .setService(service)
            .setAccount(context.account.name)
            .setWeight(context.account.weight)
            .setMethod(request.method)
            .setUri(request.uri)
            .addAllHeaders(request.headers.forwardable().toWire())
            .setBody(ByteString.copyFrom(request.body))
            .setRank(context.rank.value)
            .setDepth(context.depth)
            .setTimeoutMs((context.deadlineMs - nowMs).coerceAtLeast(0).toInt())
            .setSentAtMs(nowMs)
            .setRetryBudget(retryBudget)
            .setIdempotencyKey(key?.text.orEmpty())
            .build()
}

/** Result of a [Call]. */
sealed interface CallResult {
    val threshold: AdmissionThreshold

    /** The backend server answered completely. */
    class Answered(
        val response: HttpResponse,
        override val threshold: AdmissionThreshold,
    ) : CallResult

    /** The call was refused, or its response was lost. */
    data class Refused(
        val refusal: Refusal,
        val retryAfterMs: Int,
        override val threshold: AdmissionThreshold,
    ) : CallResult
}
