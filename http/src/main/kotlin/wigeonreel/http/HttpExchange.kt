package wigeonreel.http

/** One request received by an [HttpListener] and its answer. */
interface HttpExchange {
    val request: HttpRequest

    /** Sends the answer; calls after the first are ignored. */
    fun respond(response: HttpResponse, close: Boolean = false)

    /** Sets what is done if the caller leaves before the answer was sent. */
    fun onAbort(action: () -> Unit)
}

/** Receives requests from an [HttpListener], on its event loop. */
interface HttpHandler {
    /** Answers a request, now or later. */
    fun handle(exchange: HttpExchange)

    /** Returns the answer to bytes that are no acceptable request. */
    fun reject(fault: HttpFault): HttpResponse
}

/** Faults of received bytes. */
enum class HttpFault { MALFORMED, HEADERS_TOO_LARGE, BODY_TOO_LARGE }
