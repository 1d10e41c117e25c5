package wigeonreel.admission

import wigeonreel.outcome.Refusal

/** Properties of a request by which a guard admits or refuses it. */
data class GuardRequest(
    val rank: Rank,
    val account: String,
    val weight: Double,
    val depth: Int,
    val deadlineMs: Long,
)

/** Decision whether a request is passed to the local backend server, with the admission threshold of its stream. */
sealed interface GuardDecision {
    val threshold: AdmissionThreshold

    /** The request is passed to the backend server. */
    data class Admit(
        override val threshold: AdmissionThreshold,
    ) : GuardDecision

    /** The request is refused and was not run. */
    data class Refuse(
        val refusal: Refusal,
        override val threshold: AdmissionThreshold,
    ) : GuardDecision
}

/**
 * Admission control for the backend server beside a daemon.
 *
 * There is no queue. Demand is counted over short windows. When it exceeds what the server completes, each stream gets an
 * admission threshold. Requests below the threshold are refused even if a slot is free, which keeps slots free for more
 * important requests.
 *
 * @param slots number of concurrent requests that the server declares.
 */
class Guard(
    slots: Int,
    startedAtMs: Long,
) {
    private class Counter(
        var requests: Double,
        var weight: Double,
    )

    private val limit = ConcurrencyLimit(slots)
    private val window = HashMap<Stream, Counter>()
    private var windowEndsAtMs = startedAtMs + WINDOW_MS
    private var completed = 0.0
    private var refusedAtLimit = 0
    private var thresholds: Map<Stream, AdmissionThreshold> = emptyMap()

    /** Number of requests passed to the server and not yet answered. */
    var inFlight: Int = 0
        private set

    /** Current limit on the requests in flight. */
    val concurrencyLimit: Int get() = limit.current

    /** Whether requests of any stream are being refused by a threshold. */
    val shedding: Boolean get() = thresholds.values.any { it != AdmissionThreshold.NONE }

    /** Updates the number of declared [slots]. */
    fun updateSlots(slots: Int) = limit.updateSlots(slots)

    /** Admits or refuses [request]; each admission must be followed by one call of [onAnswer], [onShed] or [onCancelled]. */
    fun decide(request: GuardRequest, nowMs: Long): GuardDecision {
        rollWindow(nowMs)
        val stream = Stream(request.rank.worth, request.account)
        count(stream, request.weight)
        val threshold = thresholds[stream] ?: AdmissionThreshold.NONE
        return when {
            request.deadlineMs <= nowMs -> GuardDecision.Refuse(Refusal.DEADLINE_PASSED, threshold)
            inFlight >= limit.current -> refuseAtLimit(threshold)
            !threshold.admits(withNestedBonus(request)) && busy() -> GuardDecision.Refuse(Refusal.OVERLOADED, threshold)
            else -> admit(threshold)
        }
    }

    /** Ends a request that got a complete answer after [elapsedMs]. */
    fun onAnswer(elapsedMs: Double) {
        limit.onAnswer(elapsedMs, inFlight)
        inFlight--
        completed++
    }

    /** Ends a request that the server shed or did not answer in time. */
    fun onShed() {
        limit.onOverload()
        inFlight--
    }

    /** Ends a request that got no answer for a reason unrelated to the server's load. */
    fun onCancelled() {
        inFlight--
    }

    private fun admit(threshold: AdmissionThreshold): GuardDecision {
        inFlight++
        return GuardDecision.Admit(threshold)
    }

    private fun refuseAtLimit(threshold: AdmissionThreshold): GuardDecision {
        refusedAtLimit++
        return GuardDecision.Refuse(Refusal.OVERLOADED, threshold)
    }

    private fun count(stream: Stream, weight: Double) {
        val counter = window.getOrPut(stream) { Counter(0.0, weight) }
        counter.requests++
        counter.weight = weight
    }

    private fun busy() = inFlight >= limit.current * BUSY_SHARE

    /** Raises the rank of a nested call within its class, since refusing it wastes the work already done by its callers. */
    private fun withNestedBonus(request: GuardRequest): Rank {
        val bonus = if (request.depth > 0) NESTED_BONUS else 0
        return Rank(request.rank.value - request.rank.position + (request.rank.position + bonus).coerceAtMost(Rank.POSITIONS - 1))
    }

    private fun rollWindow(nowMs: Long) {
        if (nowMs < windowEndsAtMs) return
        val elapsedWindows = 1 + (nowMs - windowEndsAtMs) / WINDOW_MS
        windowEndsAtMs += elapsedWindows * WINDOW_MS
        if (elapsedWindows == 1L) updateThresholds() else thresholds = emptyMap()
        window.clear()
        completed = 0.0
        refusedAtLimit = 0
    }

    private fun updateThresholds() {
        val demands = window.map { (stream, counter) -> StreamDemand(stream, counter.requests, counter.weight) }
        val overloaded = refusedAtLimit > 0 || thresholds.isNotEmpty()
        val capacity = if (overloaded) completed * CAPACITY_PROBE_FACTOR + 1.0 else Double.MAX_VALUE
        val fitsCapacity = demands.sumOf { it.requests } <= capacity
        thresholds = if (fitsCapacity) emptyMap() else planThresholds(demands, capacity)
    }

    private companion object {
        const val WINDOW_MS = 100L
        const val BUSY_SHARE = 0.8
        const val CAPACITY_PROBE_FACTOR = 1.05
        const val NESTED_BONUS = Rank.POSITIONS / 4
    }
}
