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

/** Call that was accepted at an entry, from a caller or from the local server, and is ready to be sent. */
class Call(
    val request: HttpRequest,
    val service: String,
    val classification: Classification,
    val context: RequestContext,
    val key: IdempotencyKey?,
) {
    /** Stream in which this call's cut is learned; calls under different rules may touch different services. */
    val stream = ServiceStream("$service/${classification.rule}", Stream(context.rank.worth, context.account.name))

    /** Fingerprint by which a repeat within the same request tree is recognised. */
    val fingerprint: Int get() = 31 * (31 * service.hashCode() + request.method.hashCode()) + request.uri.hashCode()

    /** Returns the message of one attempt that may use up to [retryBudget] retries in its subtree. */
    fun toAttempt(attemptId: String, retryBudget: Int, nowMs: Long): ForwardRequest =
        ForwardRequest
            .newBuilder()
            .setAttemptId(attemptId)
            .setRootId(context.rootId)
            .setService(service)
            .setAccount(context.account.name)
            .setWeight(context.account.weight)
            .setMethod(request.method)
            .setUri(request.uri)
            .addAllHeaders(request.headers.passable().toWire())
            .setBody(ByteString.copyFrom(request.body))
            .setRank(context.rank.value)
            .setDepth(context.depth)
            .setTimeoutMs((context.deadlineMs - nowMs).coerceAtLeast(0).toInt())
            .setSentAtMs(nowMs)
            .setRetryBudget(retryBudget)
            .setIdempotencyKey(key?.text.orEmpty())
            .build()
}

/** What became of a [Call]. */
sealed interface CallResult {
    val cut: AdmissionThreshold

    /** The backend server's whole answer. */
    class Answered(
        val response: HttpResponse,
        override val cut: AdmissionThreshold,
    ) : CallResult

    /** No answer. */
    data class Refused(
        val refusal: Refusal,
        val retryAfterMs: Int,
        override val cut: AdmissionThreshold,
    ) : CallResult
}
