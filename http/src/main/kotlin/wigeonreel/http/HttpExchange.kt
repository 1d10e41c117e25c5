package wigeonreel.http

/** One request received by an [HttpListener] and its response. */
interface HttpExchange {
    val request: HttpRequest

    /** Time from the arrival of the request's head until its body had arrived and it could be handled, in milliseconds. */
    val receivingMs: Long

    /** Sends the response, then closes the connection if [close]; calls after the first are ignored. */
    fun respond(response: HttpResponse, close: Boolean = false)

    /** Sets the [action] to run if the connection is closed before the response is sent. */
    fun onAbort(action: () -> Unit)
}

/** Handles the requests of an [HttpListener], on its event loop. */
interface HttpHandler {
    /** Handles a request; the response may be sent after this function returns. */
    fun handle(exchange: HttpExchange)

    /** Returns the response for [fault]. */
    fun reject(fault: HttpFault): HttpResponse
}

/** Reasons for which a request gets a response that its handler has not chosen. */
enum class HttpFault {
    MALFORMED,
    HEADERS_TOO_LARGE,
    BODY_TOO_LARGE,

    /** The handler failed; whether the request was run is unknown. */
    INTERNAL_ERROR,
}
