package wigeonreel.routing

import wigeonreel.place.Distance
import kotlin.random.Random

/** Backend server that routing may choose, identified by the [daemon] beside it. */
data class Candidate(
    val daemon: String,
    val distance: Distance,
    val slots: Int,
)

/**
 * What a guard reports of its server on each reply.
 *
 * @param serviceMs mean service time of the route of the request, in milliseconds, or null before it is settled.
 * @param offeredLoad demand as a multiple of the capacity.
 */
data class ServerReport(
    val serviceMs: Double?,
    val offeredLoad: Double,
)

private const val HUNDREDTHS = 100.0

/** Result of a routing decision. */
sealed interface RouteDecision {
    /** Text that describes the decision in the log. */
    val logLine: String

    /** The request goes to the server beside [daemon]. */
    data class To(
        val daemon: String,
        val distance: Distance,
        val load: Double,
    ) : RouteDecision {
        override val logLine get() = "to $daemon distance=${distance.name.lowercase()} load=${Math.round(load * HUNDREDTHS) / HUNDREDTHS}"
    }

    /** No server of the service is available. */
    data class NoServer(
        val candidates: Int,
        val ejected: Int,
    ) : RouteDecision {
        override val logLine get() = "nowhere candidates=$candidates ejected=$ejected"
    }
}

/**
 * Chooses a backend server for each request of one daemon.
 *
 * Samples a few servers of the nearest distance at random and takes the least loaded one (power of d choices). Servers at
 * a greater distance are considered only when the load of that server reaches a threshold. Load is the maximum of this
 * daemon's outstanding calls and the load carried on replies, plus a penalty for recent failures. Servers that fail
 * repeatedly are ejected for a while (outlier ejection), but never more than half of them.
 */
class Router(
    private val random: Random,
) {
    private class ServerState {
        var outstanding = 0
        var reportedLoad = 0.0
        var reportedAtMs = 0L
        var failures = 0
        var ejectedUntilMs = 0L
        var failureRate = 0.0
        var lastOutcomeAtMs = 0L
        var offeredLoad = 0.0
        val serviceMs = HashMap<String, Double>()
    }

    private val servers = HashMap<String, ServerState>()

    /** Chooses one of [candidates] that is not in [tried], by the service times of [route] if replies report them. */
    fun choose(candidates: List<Candidate>, tried: Set<String>, nowMs: Long, route: String = ""): RouteDecision {
        val usualMs = usualServiceMs(route, candidates)
        val usable = candidates.filter { it.daemon !in tried }
        val healthy = usable.filter { stateOf(it.daemon).ejectedUntilMs <= nowMs }
        val eligible = if (healthy.size * 2 >= usable.size) healthy else usable
        var best: RouteDecision.To? = null
        for (distance in Distance.entries) {
            val sampled =
                sample(eligible.filter { it.distance == distance }, nowMs) { slownessPenalty(it, route, usualMs, nowMs) } ?: continue
            if (best == null || sampled.load + penalty(distance) < best.load + penalty(best.distance)) best = sampled
            if (best.load < SPILL_LOAD) break
        }
        return best ?: RouteDecision.NoServer(candidates.size, candidates.size - healthy.size)
    }

    /** Counts a call sent to [daemon] as outstanding. */
    fun onSent(daemon: String) {
        stateOf(daemon).outstanding++
    }

    /** Ends a call with a reply that carries the number of requests [inFlight] at the server and their [limit]. */
    fun onReply(daemon: String, inFlight: Int, limit: Int, nowMs: Long) {
        val state = stateOf(daemon)
        state.outstanding--
        state.failures = 0
        state.reportedLoad = inFlight.toDouble() / limit.coerceAtLeast(1)
        state.reportedAtMs = nowMs
    }

    /** Updates what a reply reports of the server beside [daemon]; [ServerReport.serviceMs] counts for [route]. */
    fun onReport(daemon: String, route: String, report: ServerReport) {
        val state = stateOf(daemon)
        state.offeredLoad = report.offeredLoad
        val serviceMs = report.serviceMs ?: return
        if (state.serviceMs.size >= MAX_ROUTES) state.serviceMs.clear()
        state.serviceMs[route] = serviceMs
    }

    /** Ends a call that got no reply; consecutive failures eject the server. */
    fun onFailure(daemon: String, nowMs: Long) {
        val state = stateOf(daemon)
        state.outstanding--
        state.failures++
        if (state.failures < FAILURES_TO_EJECT) return
        state.ejectedUntilMs = nowMs + (EJECT_MS shl (state.failures - FAILURES_TO_EJECT).coerceAtMost(MAX_EJECT_DOUBLINGS))
    }

    /** Updates the failure rate of the server beside [daemon] with one request that it [served] or failed. */
    fun onOutcome(daemon: String, served: Boolean, nowMs: Long) {
        val state = stateOf(daemon)
        state.failureRate = decayedFailureRate(state, nowMs)
        state.lastOutcomeAtMs = nowMs
        state.failureRate += ((if (served) 0.0 else 1.0) - state.failureRate) * FAILURE_WEIGHT
    }

    /** Ends a call that was cancelled before its reply arrived. */
    fun onCancelled(daemon: String) {
        stateOf(daemon).outstanding--
    }

    /** Returns the mean service time of [route] that the guard of [daemon] reported, in milliseconds, or null if it did not. */
    fun serviceMs(daemon: String, route: String): Double? = servers[daemon]?.serviceMs?.get(route)

    /** Returns the mean offered load of those [candidates] that replied lately, weighed by their slots; 0 if none did. */
    fun offeredLoad(candidates: List<Candidate>, nowMs: Long): Double {
        val known =
            candidates.filter { candidate ->
                servers[candidate.daemon]?.let { nowMs - it.reportedAtMs < OFFERED_LOAD_VALID_MS }
                    ?: false
            }
        val slots = known.sumOf { it.slots }
        return if (slots == 0) 0.0 else known.sumOf { stateOf(it.daemon).offeredLoad * it.slots } / slots
    }

    /** Removes the state of servers that are not in [known] and have no outstanding calls. */
    fun retain(known: Set<String>) {
        servers.entries.removeIf { it.key !in known && it.value.outstanding == 0 }
    }

    private fun sample(candidates: List<Candidate>, nowMs: Long, penalty: (Candidate) -> Double): RouteDecision.To? {
        if (candidates.isEmpty()) return null
        val sampled = List(SAMPLE_SIZE) { candidates[random.nextInt(candidates.size)] }
        return sampled.map { RouteDecision.To(it.daemon, it.distance, loadOf(it, nowMs) + penalty(it)) }.minBy { it.load }
    }

    private fun loadOf(candidate: Candidate, nowMs: Long): Double {
        val state = servers[candidate.daemon] ?: return 0.0
        val own = state.outstanding.toDouble() / candidate.slots.coerceAtLeast(1)
        val fresh = nowMs - state.reportedAtMs < REPORT_VALID_MS
        val load = if (fresh) maxOf(own, state.reportedLoad) else own
        return load + (decayedFailureRate(state, nowMs) - TOLERATED_FAILURE_RATE).coerceAtLeast(0.0) * FAILURE_PENALTY
    }

    /** Returns the least mean service time of [route] that one of [candidates] reported, in milliseconds; 0 if none did. */
    private fun usualServiceMs(route: String, candidates: List<Candidate>): Double =
        candidates.minOfOrNull { servers[it.daemon]?.serviceMs?.get(route) ?: Double.MAX_VALUE }?.takeIf { it < Double.MAX_VALUE } ?: 0.0

    /** Load added for a server that takes longer than [usualMs], reduced linearly with the age of its report. */
    private fun slownessPenalty(candidate: Candidate, route: String, usualMs: Double, nowMs: Long): Double {
        val state = servers[candidate.daemon] ?: return 0.0
        val serviceMs = state.serviceMs[route] ?: return 0.0
        val age = (nowMs - state.reportedAtMs).toDouble() / SERVICE_TIME_VALID_MS
        return (serviceMs / usualMs.coerceAtLeast(1.0) - 1.0).coerceIn(0.0, MAX_SLOWNESS) * SLOWNESS_PENALTY *
            (1.0 - age).coerceIn(0.0, 1.0)
    }

    /** Failure rate, reduced linearly with its age, so that a server without recent requests is tried again. */
    private fun decayedFailureRate(state: ServerState, nowMs: Long): Double {
        val age = (nowMs - state.lastOutcomeAtMs).toDouble() / FAILURE_DECAY_MS
        return state.failureRate * (1.0 - age).coerceIn(0.0, 1.0)
    }

    private fun penalty(distance: Distance) = distance.ordinal * DISTANCE_PENALTY

    private fun stateOf(daemon: String) = servers.getOrPut(daemon) { ServerState() }

    private companion object {
        /** Load from which servers at a greater distance are considered; below it a server with ten slots has a free one. */
        const val SPILL_LOAD = 0.9

        /** Load added per step of distance, since answers from distant servers cost link bandwidth and time. */
        const val DISTANCE_PENALTY = 0.2

        /** Number of servers sampled; with few servers in a failure domain, three find a free one much more often than two. */
        const val SAMPLE_SIZE = 3

        /** Time for which the load carried on a reply is used, in milliseconds; a few service times of short calls. */
        const val REPORT_VALID_MS = 200L

        /** Time in which the report of a slow server loses its effect, in milliseconds, so that the server is tried again. */
        const val SERVICE_TIME_VALID_MS = 3_000.0

        /** Load added per multiple of the usual service time; one three times as slow is as far as one in the next domain. */
        const val SLOWNESS_PENALTY = 0.1
        const val MAX_SLOWNESS = 20.0

        /** Number of routes above which the service times of a server are reset, so that the map stays bounded. */
        const val MAX_ROUTES = 2_000

        /** Time for which the offered load carried on a reply is used, in milliseconds. */
        const val OFFERED_LOAD_VALID_MS = 2_000L

        /** Weight of one outcome in the failure rate; twenty outcomes make up most of it. */
        const val FAILURE_WEIGHT = 0.05

        /** Time in which the failure rate decays to zero without new outcomes, in milliseconds. */
        const val FAILURE_DECAY_MS = 4_000L

        /** Failure rate without a penalty; servers fail some requests for reasons unrelated to their health. */
        const val TOLERATED_FAILURE_RATE = 0.05

        /** Load added per unit of failure rate; a server that fails half of its requests gets about the load of a full one. */
        const val FAILURE_PENALTY = 2.0
        const val FAILURES_TO_EJECT = 2
        const val EJECT_MS = 500L
        const val MAX_EJECT_DOUBLINGS = 5
    }
}
