package wigeonreel.traffic

import wigeonreel.http.HttpHeader
import wigeonreel.http.headerNames
import wigeonreel.http.isHopByHop

/** HTTP headers exchanged with callers and backend servers. */
object HeaderNames {
    /** Key of the client account, sent by callers. */
    const val KEY = "Wigeon-Key"

    /** Name of the called service. */
    const val SERVICE = "Wigeon-Service"

    /** Timeout of the request in milliseconds. */
    const val TIMEOUT_MS = "Wigeon-Timeout-Ms"

    /** Idempotency key of a non-idempotent request. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** Token of the running request; a backend server copies it to the calls that it makes for this request. */
    const val CONTEXT = "Wigeon-Context"

    /** Name of the client account, sent to backend servers. */
    const val ACCOUNT = "Wigeon-Account"

    /** Whether a refused request was run, sent to callers. */
    const val OUTCOME = "Wigeon-Outcome"

    /** Set by a backend server on a 503 response to a request that it shed without running it. */
    const val SHED = "Wigeon-Shed"

    /** Prefix of all headers of this system. */
    const val PREFIX = "wigeon-"
}

/** Returns the headers to pass on, without hop-by-hop headers, credentials, idempotency keys and headers of this system. */
fun List<HttpHeader>.forwardable(): List<HttpHeader> =
    filterNot { it.isHopByHop || it.name.startsWith(HeaderNames.PREFIX, ignoreCase = true) || it.name in NOT_FORWARDED }

private val NOT_FORWARDED = headerNames(listOf("authorization", "host", "idempotency-key", "expect"))
