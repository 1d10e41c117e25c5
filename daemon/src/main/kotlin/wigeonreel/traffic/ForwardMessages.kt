package wigeonreel.traffic

import com.google.protobuf.ByteString
import wigeonreel.admission.AdmissionThreshold
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpResponse
import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Header
import wigeonreel.wire.Outcome

/** Converts HTTP headers to gRPC messages. */
internal fun List<HttpHeader>.toWire(): List<Header> =
    map {
        Header
            .newBuilder()
            .setName(it.name)
            .setValue(it.value)
            .build()
    }

/** Converts gRPC header messages to HTTP headers. */
internal fun List<Header>.toHttp(): List<HttpHeader> = map { HttpHeader(it.name, it.value) }

/** Returns the reply that refuses [request] with [refusal] and reports the admission [threshold] in force. */
internal fun refusalReply(
    request: ForwardRequest,
    refusal: Refusal,
    threshold: AdmissionThreshold = AdmissionThreshold.NONE,
): ForwardReply.Builder =
    ForwardReply
        .newBuilder()
        .setAttemptId(request.attemptId)
        .setOutcome(if (refusal.ran == Ran.NOT_RUN) Outcome.NOT_RUN else Outcome.UNKNOWN)
        .setRefusal(refusal.wireName)
        .setRetryAfterMs(refusal.retryAfterMs)
        .setCut(threshold.minPosition)

/** Returns the reply that carries the backend server's complete [response] with only the given [headers]. */
internal fun answerReply(
    request: ForwardRequest,
    response: HttpResponse,
    threshold: AdmissionThreshold = AdmissionThreshold.NONE,
    headers: List<HttpHeader> = response.headers.forwardable(),
): ForwardReply.Builder =
    ForwardReply
        .newBuilder()
        .setAttemptId(request.attemptId)
        .setOutcome(Outcome.ANSWERED)
        .setStatus(response.status)
        .addAllHeaders(headers.toWire())
        .setBody(ByteString.copyFrom(response.body))
        .setCut(threshold.minPosition)

/** Refusal named by this reply, or [Refusal.ANSWER_LOST] if the name is missing or unknown. */
internal val ForwardReply.refusalKind: Refusal get() = Refusal.of(refusal) ?: Refusal.ANSWER_LOST
