package wigeonreel.admission

/** Request that a backend server runs, as seen by the calls attributed to it. */
class RunningRequest internal constructor(
    internal val deadlineMs: Long,
    internal var lastEventAtMs: Long,
    /** Number of requests that this one stands for; see [Arrival.representedRequests]. */
    val representedRequests: Double,
    /** Whether an earlier attempt of the request, or of one that it was made for, may have run. */
    val isRetry: Boolean,
) {
    internal var uses: List<ServiceUse> = emptyList()
}

/**
 * Attributes the calls that a backend server makes to the requests that it runs, since a call does not name its parent.
 *
 * The deadline of a call is that of its parent or an earlier one. Of the requests with the same deadline, or of all with a
 * later one if there is none, the parent is probably the one that started or got the answer to its previous call last.
 */
class CallAttribution<T : Any> {
    private val running = LinkedHashMap<T, RunningRequest>()

    /** Registers [request], which the server starts now and must answer by [deadlineMs]. */
    fun onStarted(
        request: T,
        deadlineMs: Long,
        representedRequests: Double,
        isRetry: Boolean,
        nowMs: Long,
    ) {
        running[request] = RunningRequest(deadlineMs, nowMs, representedRequests, isRetry)
    }

    /** Returns the running request that probably makes a call with the deadline [callDeadlineMs], or null if none can. */
    fun callerOf(callDeadlineMs: Long): RunningRequest? {
        val possible = running.values.filter { it.deadlineMs >= callDeadlineMs - TOLERANCE_MS }
        val exact = possible.filter { it.deadlineMs <= callDeadlineMs + TOLERANCE_MS }
        return exact.ifEmpty { possible }.maxByOrNull { it.lastEventAtMs }
    }

    /** Adds the [uses] of a finished call to its [caller]. */
    fun onCallFinished(caller: RunningRequest, uses: List<ServiceUse>, nowMs: Long) {
        caller.uses = caller.uses.plusUses(uses)
        caller.lastEventAtMs = nowMs
    }

    /** Ends [request] and returns what its calls used. */
    fun onEnded(request: T): List<ServiceUse> = running.remove(request)?.uses.orEmpty()

    private companion object {
        /** Maximum difference between the deadlines of a call and its parent, in milliseconds; both are sent in whole milliseconds. */
        const val TOLERANCE_MS = 2L
    }
}
