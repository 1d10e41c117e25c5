package wigeonreel.traffic

import wigeonreel.http.HttpHeader
import wigeonreel.http.headerNames
import wigeonreel.http.isHopByHop

/** Headers of the interface towards callers and backend servers. */
object HeaderNames {
    /** Client account's key, from callers. */
    const val KEY = "Wigeon-Key"

    /** Service that is called. */
    const val SERVICE = "Wigeon-Service"

    /** Time that the caller waits, in milliseconds. */
    const val TIMEOUT_MS = "Wigeon-Timeout-Ms"

    /** Idempotency key of a non-idempotent request. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** Token that a backend server sends with its own calls. */
    const val CONTEXT = "Wigeon-Context"

    /** Name of the client account, towards backend servers. */
    const val ACCOUNT = "Wigeon-Account"

    /** Whether a refused request was run, towards callers. */
    const val OUTCOME = "Wigeon-Outcome"

    /** Set by a backend server on a 503 with which it sheds a request that it did not run. */
    const val SHED = "Wigeon-Shed"

    /** Every header that belongs to the system starts so. */
    const val PREFIX = "wigeon-"
}

/** Returns the headers that may be passed to a backend server: neither keys nor headers of the system. */
fun List<HttpHeader>.passable(): List<HttpHeader> =
    filterNot { it.isHopByHop || it.name.startsWith(HeaderNames.PREFIX, ignoreCase = true) || it.name in REMOVED }

private val REMOVED = headerNames(listOf("authorization", "host", "idempotency-key", "expect"))
