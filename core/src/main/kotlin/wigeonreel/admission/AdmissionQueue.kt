package wigeonreel.admission

import wigeonreel.outcome.Refusal

/**
 * Request that arrives at a guard.
 *
 * @param route route of the request, by which service times are averaged.
 * @param nested whether the request is a call made by a request that is already running.
 * @param priority rank of the request; 0 is the most urgent.
 * @param deadlineMs time after which the caller no longer accepts an answer.
 * @param objectiveMs response time up to which an answer has its full value, in milliseconds.
 * @param representedRequests number of requests that this one stands for: itself and its share of those that entry points
 *   shed; 0 if it was counted at another guard already.
 */
data class Arrival(
    val route: String,
    val nested: Boolean,
    val priority: Int,
    val deadlineMs: Long,
    val objectiveMs: Long,
    val representedRequests: Double = 1.0,
)

/** Handle of an [arrival] that is running or queued. */
class Ticket internal constructor(
    val arrival: Arrival,
    val arrivedAtMs: Long,
    internal val order: Long,
) {
    /** Service time expected at the start of the request, in milliseconds. */
    internal var expectedMs = 0.0
}

/** Decision about an arrival. */
sealed interface Admission {
    /** The request starts now. */
    data class Run(
        val ticket: Ticket,
    ) : Admission

    /** The request is queued for a slot. */
    data class Wait(
        val ticket: Ticket,
    ) : Admission

    /** The request was not run and is not queued. */
    data class Refuse(
        val refusal: Refusal,
        val retryAfterMs: Int,
    ) : Admission
}

/** Decision about an arrival, and the queued requests that were removed because they can no longer be served in time. */
class ArrivalResult(
    val admission: Admission,
    val displaced: List<Ticket>,
)

/**
 * Priority queue in front of a backend server's slots.
 *
 * Load pattern: demand for a service deep in the call graph exceeds its slots for seconds, and consists of nested calls and
 * new requests. Nested calls go first, since refusing one wastes the work already done by its callers. Then come requests of
 * higher priority, then earlier arrivals. A request is queued only while it can meet its deadline and its wait stays within
 * a share of its objective, so a refusal reaches the caller early enough for a retry.
 *
 * @param slots number of concurrent requests that the server declares.
 */
class AdmissionQueue(
    slots: Int,
) {
    private val times = ServiceTimes()
    private val waiting = sortedSetOf(compareBy<Ticket>({ !it.arrival.nested }, { it.arrival.priority }, { it.order }))
    private val running = HashSet<Ticket>()
    private val offered = OfferedLoad()
    private var nextOrder = 0L
    private val startedAtMs = HashMap<String, Long>()

    /** Sum of the expected service times of the running requests, in milliseconds; maintained incrementally, since each answer needs it. */
    private var runningMs = 0.0

    /** Maximum number of running requests. */
    var limit: Int = limitOf(slots)
        private set

    /** Number of requests that the server runs. */
    val runningCount: Int get() = running.size

    /** Number of requests queued for a slot. */
    val waitingCount: Int get() = waiting.size

    /** Demand for this server as a multiple of its capacity. */
    val offeredLoad: Double get() = offered.ratio + waitingMs() / (limit * BACKLOG_DRAIN_MS)

    /** Updates the number of declared [slots]. */
    fun updateSlots(slots: Int) {
        limit = limitOf(slots)
    }

    /** Returns the expected wait of a new request of the lowest priority, in milliseconds. */
    fun expectedWaitMs(): Double = if (running.size < limit) 0.0 else backlogMs() / limit

    /** Returns the mean service time of requests of [route] at this server, in milliseconds, or null before it is settled. */
    fun serviceMs(route: String): Double? = times.settledMeanMs(route)

    /** Starts, queues or refuses [arrival]. */
    fun arrive(arrival: Arrival, nowMs: Long): ArrivalResult {
        if (arrival.deadlineMs <= nowMs) return ArrivalResult(Admission.Refuse(Refusal.DEADLINE_PASSED, 0), emptyList())
        offered.update(limit, nowMs)
        offered.onArrival(arrival.representedRequests, times.meanMs(arrival.route))
        if (isTooSlow(arrival, nowMs)) return ArrivalResult(Admission.Refuse(Refusal.OVERLOADED, retryAfterMs()), emptyList())
        val ticket = Ticket(arrival, nowMs, nextOrder++)
        if (running.size < limit && waiting.isEmpty()) {
            start(ticket, nowMs)
            return ArrivalResult(Admission.Run(ticket), emptyList())
        }
        waiting += ticket
        val displaced = shedLate(nowMs)
        if (ticket !in displaced) return ArrivalResult(Admission.Wait(ticket), displaced)
        return ArrivalResult(Admission.Refuse(Refusal.OVERLOADED, retryAfterMs()), displaced - ticket)
    }

    /**
     * Ends a running request and returns the queued requests that start now.
     *
     * @param elapsedMs service time in milliseconds, that until the timeout if there was no answer; null if it says nothing about
     *   the server.
     */
    fun finish(ticket: Ticket, elapsedMs: Double?, nowMs: Long): List<Ticket> {
        if (running.remove(ticket)) runningMs -= ticket.expectedMs
        if (running.isEmpty()) runningMs = 0.0
        if (elapsedMs != null) times.record(ticket.arrival.route, elapsedMs)
        return startNext(nowMs)
    }

    /** Removes a queued request. Returns whether it was queued. */
    fun cancel(ticket: Ticket): Boolean = waiting.remove(ticket)

    /** Removes and returns all queued requests; used when the backend server is gone. */
    fun clear(): List<Ticket> = waiting.toList().also { waiting.clear() }

    /** Removes and returns the queued requests that are expected to miss their deadline or to exceed their maximum wait. */
    fun shedLate(nowMs: Long): List<Ticket> {
        offered.update(limit, nowMs)
        if (waiting.isEmpty()) return emptyList()
        val dropped = mutableListOf<Ticket>()
        var aheadMs = runningMs * REMAINING_SHARE
        val entries = waiting.iterator()
        while (entries.hasNext()) {
            val ticket = entries.next()
            if (isLate(ticket, aheadMs / limit, nowMs)) {
                entries.remove()
                dropped += ticket
            } else {
                aheadMs += times.meanMs(ticket.arrival.route)
            }
        }
        return dropped
    }

    /** Returns the time after which a refused request should be retried, in milliseconds. */
    fun retryAfterMs(): Int = (expectedWaitMs() * RETRY_AFTER_FACTOR).toInt().coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    private fun isLate(ticket: Ticket, waitMs: Double, nowMs: Long): Boolean {
        val arrival = ticket.arrival
        val missesDeadline = nowMs + waitMs + times.meanMs(arrival.route) > arrival.deadlineMs
        val maxWaitMs = arrival.objectiveMs * (if (arrival.nested) NESTED_MAX_WAIT_SHARE else NEW_MAX_WAIT_SHARE)
        return missesDeadline || nowMs - ticket.arrivedAtMs + waitMs > maxWaitMs
    }

    /** Returns whether the server is too slow to answer [arrival] in time, except for one request of its route once in a while. */
    private fun isTooSlow(arrival: Arrival, nowMs: Long): Boolean {
        val serviceMs = times.settledMeanMs(arrival.route) ?: return false
        return nowMs + serviceMs > arrival.deadlineMs && nowMs - (startedAtMs[arrival.route] ?: 0) < PROBE_INTERVAL_MS
    }

    private fun startNext(nowMs: Long): List<Ticket> {
        val started = mutableListOf<Ticket>()
        while (running.size < limit) {
            val next = waiting.pollFirst() ?: break
            start(next, nowMs)
            started += next
        }
        return started
    }

    private fun start(ticket: Ticket, nowMs: Long) {
        if (startedAtMs.size > MAX_ROUTES) startedAtMs.clear()
        startedAtMs[ticket.arrival.route] = nowMs
        ticket.expectedMs = times.meanMs(ticket.arrival.route)
        running += ticket
        runningMs += ticket.expectedMs
    }

    private fun backlogMs(): Double = runningMs * REMAINING_SHARE + waitingMs()

    private fun waitingMs(): Double = waiting.sumOf { times.meanMs(it.arrival.route) }

    private fun limitOf(slots: Int) = (slots * USABLE_SLOT_SHARE).toInt().coerceAtLeast(1)

    private companion object {
        /** Share of the declared slots that is used; nearly full servers slow down, and health probes occupy a slot. */
        const val USABLE_SLOT_SHARE = 0.95

        /** Time in which the queue should drain, in milliseconds; requests that are queued count as demand of that time. */
        const val BACKLOG_DRAIN_MS = 300.0

        /** Average remaining share of a running request's service time. */
        const val REMAINING_SHARE = 0.5

        /** Maximum wait of a new request as a share of its objective; callers give up when they notice a queue. */
        const val NEW_MAX_WAIT_SHARE = 0.2

        /** Maximum wait of a nested call as a share of its objective. */
        const val NESTED_MAX_WAIT_SHARE = 1.0

        /** Time after which a server that is too slow gets a request that shows whether it still is, in milliseconds. */
        const val PROBE_INTERVAL_MS = 300L

        /** Factor on the expected wait after which callers should retry, so that the current backlog has drained by then. */
        const val RETRY_AFTER_FACTOR = 2.0
        const val MIN_RETRY_AFTER_MS = 200

        /** Number of routes above which the times of their last starts are reset, so that the map stays bounded. */
        const val MAX_ROUTES = 2_000
        const val MAX_RETRY_AFTER_MS = 1_500
    }
}
