package wigeonreel.admission

import wigeonreel.outcome.Refusal

/** Request as the guard of a backend server sees it. */
data class GuardRequest(
    val rank: Rank,
    val account: String,
    val weight: Double,
    val depth: Int,
    val deadlineMs: Long,
)

/** Whether a request is passed to the local backend server, with the cut of its stream. */
sealed interface GuardDecision {
    val cut: Cut

    /** Pass it on. */
    data class Admit(
        override val cut: Cut,
    ) : GuardDecision

    /** Refuse it; it was not run. */
    data class Refuse(
        val refusal: Refusal,
        override val cut: Cut,
    ) : GuardDecision
}

/**
 * Admission to the backend server beside a daemon.
 *
 * There is no queue. Demand is counted over short windows; when it exceeds what the server completes, each stream gets
 * a cut, and requests below it are refused although a slot may be free, so that slots are there for the more important.
 *
 * @param slots requests that the server says it can run at a time.
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
    private var refusedFull = 0
    private var cuts: Map<Stream, Cut> = emptyMap()

    /** Requests passed to the server and not yet answered. */
    var inFlight: Int = 0
        private set

    /** Requests that may be in flight now. */
    val concurrencyLimit: Int get() = limit.current

    /** Whether some stream is being cut. */
    val shedding: Boolean get() = cuts.values.any { it != Cut.NONE }

    /** Takes a changed number of declared slots into account. */
    fun declare(slots: Int) = limit.declare(slots)

    /** Decides one request; an admitted one must be followed by one call of [onAnswer], [onShed] or [onCancelled]. */
    fun decide(request: GuardRequest, nowMs: Long): GuardDecision {
        roll(nowMs)
        val stream = Stream(request.rank.worth, request.account)
        count(stream, request.weight)
        val cut = cuts[stream] ?: Cut.NONE
        return when {
            request.deadlineMs <= nowMs -> GuardDecision.Refuse(Refusal.DEADLINE_PASSED, cut)
            inFlight >= limit.current -> refuseFull(cut)
            !cut.admits(sunk(request)) && busy() -> GuardDecision.Refuse(Refusal.OVERLOADED, cut)
            else -> admit(cut)
        }
    }

    /** Notes a whole answer that took [elapsedMs]. */
    fun onAnswer(elapsedMs: Double) {
        limit.onAnswer(elapsedMs, inFlight)
        inFlight--
        completed++
    }

    /** Notes that the server shed the request or did not answer in time. */
    fun onShed() {
        limit.onOverload()
        inFlight--
    }

    /** Notes that the request ended without an answer for a reason that says nothing about the server's load. */
    fun onCancelled() {
        inFlight--
    }

    private fun admit(cut: Cut): GuardDecision {
        inFlight++
        return GuardDecision.Admit(cut)
    }

    private fun refuseFull(cut: Cut): GuardDecision {
        refusedFull++
        return GuardDecision.Refuse(Refusal.OVERLOADED, cut)
    }

    private fun count(stream: Stream, weight: Double) {
        val counter = window.getOrPut(stream) { Counter(0.0, weight) }
        counter.requests++
        counter.weight = weight
    }

    private fun busy() = inFlight >= limit.current * BUSY_SHARE

    /** Deeper calls carry work that was already done, so they go before new trees of the same class. */
    private fun sunk(request: GuardRequest): Rank {
        val bonus = if (request.depth > 0) SUNK_WORK_PLACES else 0
        return Rank(request.rank.value - request.rank.place + (request.rank.place + bonus).coerceAtMost(Rank.PLACES - 1))
    }

    private fun roll(nowMs: Long) {
        if (nowMs < windowEndsAtMs) return
        val elapsedWindows = 1 + (nowMs - windowEndsAtMs) / WINDOW_MS
        windowEndsAtMs += elapsedWindows * WINDOW_MS
        if (elapsedWindows == 1L) plan() else cuts = emptyMap()
        window.clear()
        completed = 0.0
        refusedFull = 0
    }

    private fun plan() {
        val demands = window.map { (stream, counter) -> StreamDemand(stream, counter.requests, counter.weight) }
        val overloaded = refusedFull > 0 || cuts.isNotEmpty()
        val capacity = if (overloaded) completed * PROBE_FACTOR + 1.0 else Double.MAX_VALUE
        val fits = demands.sumOf { it.requests } <= capacity
        cuts = if (fits) emptyMap() else planCuts(demands, capacity)
    }

    private companion object {
        const val WINDOW_MS = 100L
        const val BUSY_SHARE = 0.8
        const val PROBE_FACTOR = 1.05
        const val SUNK_WORK_PLACES = Rank.PLACES / 4
    }
}
