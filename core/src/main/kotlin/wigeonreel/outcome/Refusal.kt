package wigeonreel.outcome

/** Whether a backend server can have run a refused request. */
enum class Ran(
    val wireName: String,
) {
    NOT_RUN("not run"),
    UNKNOWN("outcome unknown"),
}

/**
 * Reasons why a request gets no answer from a backend server.
 *
 * @param status HTTP status sent to the caller.
 * @param ran whether a backend server can have run this attempt.
 * @param retryAfterMs time after which a retry may succeed, in milliseconds; 0 if a retry of the unchanged request will not succeed.
 * @param remedy instruction for the caller.
 */
enum class Refusal(
    val status: Int,
    val ran: Ran,
    val retryAfterMs: Int,
    val remedy: String,
) {
    MALFORMED_REQUEST(400, Ran.NOT_RUN, 0, "send well-formed HTTP/1.1"),
    HEADERS_TOO_LARGE(431, Ran.NOT_RUN, 0, "send fewer or shorter headers"),
    BODY_TOO_LARGE(413, Ran.NOT_RUN, 0, "send a body below the limit named in limits.max_body_bytes"),
    SERVICE_MISSING(400, Ran.NOT_RUN, 0, "name the service in the Wigeon-Service header"),
    UNKNOWN_SERVICE(404, Ran.NOT_RUN, 0, "name a service that the configuration lists"),
    ROUTE_UNKNOWN(404, Ran.NOT_RUN, 0, "send a host and path that a route of the configuration covers"),
    KEY_MISSING(401, Ran.NOT_RUN, 0, "send the client account's key in the Wigeon-Key header"),
    KEY_INVALID(401, Ran.NOT_RUN, 0, "send a key that an operator has granted and not withdrawn"),
    CONTEXT_INVALID(403, Ran.NOT_RUN, 0, "send the Wigeon-Context of a request that is still in progress, or a client account's key"),
    DEADLINE_INVALID(400, Ran.NOT_RUN, 0, "send Wigeon-Timeout-Ms as a whole number of milliseconds from 1 to 600000"),
    DEADLINE_PASSED(504, Ran.NOT_RUN, 1_000, "send the request again with more time"),
    OVER_RATE(429, Ran.NOT_RUN, 1_000, "send less, or ask an operator for a higher rate"),
    OVERLOADED(503, Ran.NOT_RUN, 1_000, "send the request again after the time named in Retry-After"),
    SERVER_SHED(503, Ran.NOT_RUN, 500, "send the request again after the time named in Retry-After; the server turned it away"),
    NO_SERVER(503, Ran.NOT_RUN, 1_000, "send the request again later; no backend server of the service is ready"),
    ISOLATED(503, Ran.NOT_RUN, 2_000, "send the request to another daemon; this one has no current configuration"),
    DRAINING(503, Ran.NOT_RUN, 100, "send the request to another daemon; this one is leaving"),
    SERVER_UNREACHABLE(502, Ran.NOT_RUN, 200, "send the request again; the chosen server could not be reached"),
    RETRIES_SPENT(503, Ran.NOT_RUN, 1_000, "do not repeat this call; the retry budget of its request is spent"),
    IDEMPOTENCY_KEY_MISSING(428, Ran.NOT_RUN, 0, "repeat with the Idempotency-Key that this refusal carries"),
    IDEMPOTENCY_KEY_INVALID(400, Ran.NOT_RUN, 0, "send an Idempotency-Key that is a UUIDv7 or one minted by a daemon"),
    IDEMPOTENCY_KEY_FROM_FUTURE(400, Ran.NOT_RUN, 0, "set the clock right, or take a key minted by a daemon"),
    IDEMPOTENCY_KEY_TOO_OLD(409, Ran.UNKNOWN, 0, "check the outcome by a lookup; the record of this key is no longer kept"),
    IDEMPOTENCY_KEY_REUSED(422, Ran.NOT_RUN, 0, "take a new key; this one was used for a different request"),
    IDEMPOTENCY_KEY_SPENT(409, Ran.NOT_RUN, 0, "take a new key; no request with this key was run or will be"),
    HOME_NOT_CURRENT(503, Ran.NOT_RUN, 1_000, "repeat with the same key; the key's home is being decided"),
    STILL_RUNNING(409, Ran.UNKNOWN, 500, "repeat with the same key to get the outcome"),
    RECORD_LOST(409, Ran.UNKNOWN, 0, "check the outcome by a lookup; the record of this key was lost"),
    HOME_UNREACHABLE(503, Ran.UNKNOWN, 1_000, "repeat with the same key to get the outcome"),
    TIMED_OUT(504, Ran.UNKNOWN, 0, "check the outcome by a lookup before sending the request again"),
    ANSWER_LOST(504, Ran.UNKNOWN, 0, "check the outcome by a lookup before sending the request again"),
    ANSWER_TRUNCATED(502, Ran.UNKNOWN, 0, "check the outcome by a lookup before sending the request again"),
    ANSWER_TOO_LARGE(502, Ran.UNKNOWN, 0, "ask for less; the answer was above the limit"),
    ;

    /** Machine-readable name sent to callers. */
    val wireName: String = name.lowercase().replace('_', '-')

    companion object {
        private val byWireName = entries.associateBy { it.wireName }

        /** Returns the refusal with this [wireName], or null if there is none. */
        fun of(wireName: String): Refusal? = byWireName[wireName]
    }
}
