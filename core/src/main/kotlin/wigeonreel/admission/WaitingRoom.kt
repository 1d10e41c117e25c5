package wigeonreel.admission

import wigeonreel.outcome.Refusal

/**
 * Request that arrives at a guard.
 *
 * @param route route of the request, for which service times are learned.
 * @param begun whether the request is a call of one that already runs elsewhere.
 * @param priority rank of the request, 0 is the most urgent.
 * @param deadlineMs time after which nobody waits for the answer.
 * @param objectiveMs time within which an answer has its full worth.
 */
data class Arrival(
    val route: String,
    val begun: Boolean,
    val priority: Int,
    val deadlineMs: Long,
    val objectiveMs: Long,
)

/** Place of an accepted [arrival]. */
class Ticket internal constructor(
    val arrival: Arrival,
    val arrivedAtMs: Long,
    internal val order: Long,
) {
    /** Service time that was expected when it was started, in milliseconds. */
    internal var expectedMs = 0.0
}

/** What becomes of an arrival. */
sealed interface Admission {
    /** Run it now. */
    data class Run(
        val ticket: Ticket,
    ) : Admission

    /** It waits for a slot. */
    data class Wait(
        val ticket: Ticket,
    ) : Admission

    /** It was not run and will not be. */
    data class Refuse(
        val refusal: Refusal,
        val retryAfterMs: Int,
    ) : Admission
}

/** Decision about an arrival, with the waiting requests that lost their chance to be served in time through it. */
class Arranged(
    val admission: Admission,
    val displaced: List<Ticket>,
)

/**
 * Waiting room in front of a backend server's slots.
 *
 * Load pattern: demand for a deep service exceeds its slots for seconds, with calls of running requests and new requests
 * mixed. Calls of running requests go first, since refusing one wastes the work above it; then the more urgent; then in
 * order of arrival. A request waits only while it can be served in time and its wait stays a small part of its
 * objective, so refusals come early enough for the caller to return.
 *
 * @param slots requests that the server says it can run at a time.
 */
class WaitingRoom(
    slots: Int,
) {
    private val times = ServiceTimes()
    private val waiting = sortedSetOf(compareBy<Ticket>({ !it.arrival.begun }, { it.arrival.priority }, { it.order }))
    private val running = HashSet<Ticket>()
    private var nextOrder = 0L

    /** Service times that were expected of the running requests, in milliseconds; a sum kept, since each answer needs it. */
    private var runningMs = 0.0

    /** Requests that may run at a time. */
    var limit: Int = limitOf(slots)
        private set

    /** Requests that the server runs. */
    val runningCount: Int get() = running.size

    /** Requests that wait for a slot. */
    val waitingCount: Int get() = waiting.size

    /** Takes a changed number of declared slots into account. */
    fun declare(slots: Int) {
        limit = limitOf(slots)
    }

    /** Expected wait of a new request that is not urgent, in milliseconds. */
    fun expectedWaitMs(): Double = if (running.size < limit) 0.0 else workMs() / limit

    /** Decides about [arrival]. */
    fun arrive(arrival: Arrival, nowMs: Long): Arranged {
        if (arrival.deadlineMs <= nowMs) return Arranged(Admission.Refuse(Refusal.DEADLINE_PASSED, 0), emptyList())
        val ticket = Ticket(arrival, nowMs, nextOrder++)
        if (running.size < limit && waiting.isEmpty()) {
            start(ticket)
            return Arranged(Admission.Run(ticket), emptyList())
        }
        waiting += ticket
        val displaced = dropHopeless(nowMs)
        if (ticket !in displaced) return Arranged(Admission.Wait(ticket), displaced)
        return Arranged(Admission.Refuse(Refusal.OVERLOADED, retryAfterMs()), displaced - ticket)
    }

    /** Notes that a running request ended, after [elapsedMs] of service if it was served; returns those to run now. */
    fun finish(ticket: Ticket, elapsedMs: Double?): List<Ticket> {
        if (running.remove(ticket)) runningMs -= ticket.expectedMs
        if (running.isEmpty()) runningMs = 0.0
        if (elapsedMs != null) times.learn(ticket.arrival.route, elapsedMs)
        return startNext()
    }

    /** Takes a waiting request out. Returns whether it was waiting. */
    fun leave(ticket: Ticket): Boolean = waiting.remove(ticket)

    /** Takes out all waiting requests, since the server that they wait for is gone. */
    fun clear(): List<Ticket> = waiting.toList().also { waiting.clear() }

    /** Takes out the waiting requests that can't be served in time any more. */
    fun dropHopeless(nowMs: Long): List<Ticket> {
        if (waiting.isEmpty()) return emptyList()
        val dropped = mutableListOf<Ticket>()
        var aheadMs = runningMs * HALF
        val entries = waiting.iterator()
        while (entries.hasNext()) {
            val ticket = entries.next()
            if (hopeless(ticket, aheadMs / limit, nowMs)) {
                entries.remove()
                dropped += ticket
            } else {
                aheadMs += times.meanMs(ticket.arrival.route)
            }
        }
        return dropped
    }

    /** Time after which a refused request may find room, in milliseconds. */
    fun retryAfterMs(): Int = (expectedWaitMs() * RETURN_FACTOR).toInt().coerceIn(MIN_RETURN_MS, MAX_RETURN_MS)

    private fun hopeless(ticket: Ticket, waitMs: Double, nowMs: Long): Boolean {
        val arrival = ticket.arrival
        val late = nowMs + waitMs + times.meanMs(arrival.route) > arrival.deadlineMs
        val patienceMs = arrival.objectiveMs * (if (arrival.begun) BEGUN_PATIENCE else NEW_PATIENCE)
        return late || nowMs - ticket.arrivedAtMs + waitMs > patienceMs
    }

    private fun startNext(): List<Ticket> {
        val started = mutableListOf<Ticket>()
        while (running.size < limit) {
            val next = waiting.pollFirst() ?: break
            start(next)
            started += next
        }
        return started
    }

    private fun start(ticket: Ticket) {
        ticket.expectedMs = times.meanMs(ticket.arrival.route)
        running += ticket
        runningMs += ticket.expectedMs
    }

    private fun workMs(): Double = runningMs * HALF + waiting.sumOf { times.meanMs(it.arrival.route) }

    private fun limitOf(slots: Int) = (slots * USED_SLOTS).toInt().coerceAtLeast(1)

    private companion object {
        /** Share of the declared slots that is used; servers slow down when nearly full and answer probes in a slot. */
        const val USED_SLOTS = 0.95

        /** A running request is half done on average. */
        const val HALF = 0.5

        /** Share of its objective that a new request may wait; callers leave when they feel a queue. */
        const val NEW_PATIENCE = 0.2

        /** Share of its objective that a call of a running request may wait. */
        const val BEGUN_PATIENCE = 1.0

        /** Callers return after the present backlog is worked off twice over, so that they do not meet it again. */
        const val RETURN_FACTOR = 2.0
        const val MIN_RETURN_MS = 200
        const val MAX_RETURN_MS = 1_500
    }
}
