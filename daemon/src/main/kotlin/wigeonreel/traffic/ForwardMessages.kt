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

/** Returns the wire form of HTTP headers. */
internal fun List<HttpHeader>.toWire(): List<Header> =
    map {
        Header
            .newBuilder()
            .setName(it.name)
            .setValue(it.value)
            .build()
    }

/** Returns HTTP headers of their wire form. */
internal fun List<Header>.toHttp(): List<HttpHeader> = map { HttpHeader(it.name, it.value) }

/** Returns the reply that refuses [request]. */
internal fun refusalReply(
    request: ForwardRequest,
    refusal: Refusal,
    cut: AdmissionThreshold = AdmissionThreshold.NONE,
): ForwardReply.Builder =
    ForwardReply
        .newBuilder()
        .setAttemptId(request.attemptId)
        .setOutcome(if (refusal.ran == Ran.NOT_RUN) Outcome.NOT_RUN else Outcome.UNKNOWN)
        .setRefusal(refusal.wireName)
        .setRetryAfterMs(refusal.retryAfterMs)
        .setCut(cut.minPosition)

/** Returns the reply that carries the backend server's whole [response] with the [headers] that are passed on. */
internal fun answerReply(
    request: ForwardRequest,
    response: HttpResponse,
    cut: AdmissionThreshold = AdmissionThreshold.NONE,
    headers: List<HttpHeader> = response.headers.passable(),
): ForwardReply.Builder =
    ForwardReply
        .newBuilder()
        .setAttemptId(request.attemptId)
        .setOutcome(Outcome.ANSWERED)
        .setStatus(response.status)
        .addAllHeaders(headers.toWire())
        .setBody(ByteString.copyFrom(response.body))
        .setCut(cut.minPosition)

/** Refusal that this reply names; [Refusal.ANSWER_LOST] when it names none that is known. */
internal val ForwardReply.refusalKind: Refusal get() = Refusal.of(refusal) ?: Refusal.ANSWER_LOST
