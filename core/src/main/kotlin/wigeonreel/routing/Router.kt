package wigeonreel.routing

import wigeonreel.place.Distance
import kotlin.random.Random

/** Backend server that can be chosen, with the id of the daemon beside it. */
data class Candidate(
    val daemon: String,
    val distance: Distance,
    val slots: Int,
)

private const val HUNDREDTHS = 100.0

/** Why a server was chosen, or that none could be. */
sealed interface RouteDecision {
    /** The one log line of this decision. */
    val logLine: String

    /** Send the request to the server beside [daemon]. */
    data class To(
        val daemon: String,
        val distance: Distance,
        val load: Double,
    ) : RouteDecision {
        override val logLine get() = "to $daemon distance=${distance.name.lowercase()} load=${Math.round(load * HUNDREDTHS) / HUNDREDTHS}"
    }

    /** No server of the service can be chosen. */
    data class Nowhere(
        val candidates: Int,
        val ejected: Int,
    ) : RouteDecision {
        override val logLine get() = "nowhere candidates=$candidates ejected=$ejected"
    }
}

/**
 * Choice of a backend server, as one daemon makes it.
 *
 * A few servers of the nearest distance are drawn and the least loaded one is taken; a farther distance is used only when
 * the draw is loaded beyond a threshold. Load is this daemon's own outstanding calls and the load carried on replies.
 * Servers that fail are ejected for a while, but never more than half of them.
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
        var failureShare = 0.0
        var outcomeAtMs = 0L
    }

    private val servers = HashMap<String, ServerState>()

    /** Chooses among [candidates], leaving out the servers [tried] before. */
    fun choose(candidates: List<Candidate>, tried: Set<String>, nowMs: Long): RouteDecision {
        val usable = candidates.filter { it.daemon !in tried }
        val healthy = usable.filter { stateOf(it.daemon).ejectedUntilMs <= nowMs }
        val pool = if (healthy.size * 2 >= usable.size) healthy else usable
        var best: RouteDecision.To? = null
        for (distance in Distance.entries) {
            val drawn = draw(pool.filter { it.distance == distance }, nowMs) ?: continue
            if (best == null || drawn.load + penalty(distance) < best.load + penalty(best.distance)) best = drawn
            if (best.load < SPILL_LOAD) break
        }
        return best ?: RouteDecision.Nowhere(candidates.size, candidates.size - healthy.size)
    }

    /** Notes that a call was sent to [daemon]. */
    fun onSent(daemon: String) {
        stateOf(daemon).outstanding++
    }

    /** Notes a reply with the number of requests [inFlight] and the [limit] of the server. */
    fun onReply(daemon: String, inFlight: Int, limit: Int, nowMs: Long) {
        val state = stateOf(daemon)
        state.outstanding--
        state.failures = 0
        state.reportedLoad = inFlight.toDouble() / limit.coerceAtLeast(1)
        state.reportedAtMs = nowMs
    }

    /** Notes that a call got no reply. */
    fun onFailure(daemon: String, nowMs: Long) {
        val state = stateOf(daemon)
        state.outstanding--
        state.failures++
        if (state.failures < FAILURES_TO_EJECT) return
        state.ejectedUntilMs = nowMs + (EJECT_MS shl (state.failures - FAILURES_TO_EJECT).coerceAtMost(MAX_EJECT_DOUBLINGS))
    }

    /** Notes whether the server beside [daemon] served a request or failed it. */
    fun onOutcome(daemon: String, served: Boolean, nowMs: Long) {
        val state = stateOf(daemon)
        state.failureShare = fadedFailures(state, nowMs)
        state.outcomeAtMs = nowMs
        state.failureShare += ((if (served) 0.0 else 1.0) - state.failureShare) * FAILURE_WEIGHT
    }

    /** Notes that the caller left before the reply came. */
    fun onCancelled(daemon: String) {
        stateOf(daemon).outstanding--
    }

    /** Forgets servers that are not in [known]. */
    fun retain(known: Set<String>) {
        servers.entries.removeIf { it.key !in known && it.value.outstanding == 0 }
    }

    private fun draw(candidates: List<Candidate>, nowMs: Long): RouteDecision.To? {
        if (candidates.isEmpty()) return null
        val drawn = List(DRAWS) { candidates[random.nextInt(candidates.size)] }
        return drawn.map { RouteDecision.To(it.daemon, it.distance, loadOf(it, nowMs)) }.minBy { it.load }
    }

    private fun loadOf(candidate: Candidate, nowMs: Long): Double {
        val state = servers[candidate.daemon] ?: return 0.0
        val own = state.outstanding.toDouble() / candidate.slots.coerceAtLeast(1)
        val fresh = nowMs - state.reportedAtMs < REPORT_VALID_MS
        val load = if (fresh) maxOf(own, state.reportedLoad) else own
        return load + (fadedFailures(state, nowMs) - TOLERATED_FAILURES).coerceAtLeast(0.0) * FAILURE_PENALTY
    }

    /** Old failures fade, so that a server that got no requests is tried again. */
    private fun fadedFailures(state: ServerState, nowMs: Long): Double {
        val age = (nowMs - state.outcomeAtMs).toDouble() / FAILURE_MEMORY_MS
        return state.failureShare * (1.0 - age).coerceIn(0.0, 1.0)
    }

    private fun penalty(distance: Distance) = distance.ordinal * DISTANCE_PENALTY

    private fun stateOf(daemon: String) = servers.getOrPut(daemon) { ServerState() }

    private companion object {
        /** Load from which farther servers are looked at: a slot is free below it in a server of ten. */
        const val SPILL_LOAD = 0.9

        /** Load by which a server must be less full for each step of distance; answers from afar cost link bytes and time. */
        const val DISTANCE_PENALTY = 0.2

        /** Servers drawn; a third one finds a free one among the few of a failure domain much more often than two do. */
        const val DRAWS = 3

        /** Time for which the load on a reply counts, in milliseconds: a few service times of short calls. */
        const val REPORT_VALID_MS = 200L

        /** Weight of one outcome in the share of failures; twenty outcomes replace most of the past. */
        const val FAILURE_WEIGHT = 0.05

        /** Time in which failures fade while nothing is heard of a server, in milliseconds. */
        const val FAILURE_MEMORY_MS = 4_000L

        /** Share of failures that is normal; servers fail some requests for reasons of their own. */
        const val TOLERATED_FAILURES = 0.05

        /** A server that fails half of its requests counts as filled once over. */
        const val FAILURE_PENALTY = 2.0
        const val FAILURES_TO_EJECT = 2
        const val EJECT_MS = 500L
        const val MAX_EJECT_DOUBLINGS = 5
    }
}
