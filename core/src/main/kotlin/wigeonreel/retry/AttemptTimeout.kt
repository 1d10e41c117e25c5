package wigeonreel.retry

/** Multiple of the usual service time after which an answer is probably lost; the slowest one in a hundred takes about three times as long. */
private const val SERVICE_TIMES = 3.0

/** Time added for the network and the queue in front of the server, in milliseconds. */
private const val MARGIN_MS = 100.0

/** Offered load above which late answers are caused by the load, so that a second attempt would add to it. */
private const val MAX_LOAD = 0.9

/**
 * Returns the time after which an attempt should be given up for another one, in milliseconds, or null if it should not.
 *
 * Load pattern: servers run requests but some of their answers never arrive. A short call would wait for its deadline, and
 * fail the requests that wait for it. A second attempt is of use only while there is time for it.
 *
 * @param serviceMs mean service time of such a request at the chosen server, or null if it is unknown.
 * @param load demand for the service as a multiple of its capacity.
 * @param leftMs time left until the deadline.
 */
fun attemptTimeoutMs(serviceMs: Double?, load: Double, leftMs: Long): Long? {
    if (serviceMs == null || load > MAX_LOAD) return null
    val timeoutMs = serviceMs * SERVICE_TIMES + MARGIN_MS
    return timeoutMs.toLong().takeIf { timeoutMs + serviceMs + MARGIN_MS < leftMs }
}
