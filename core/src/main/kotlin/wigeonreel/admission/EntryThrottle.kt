package wigeonreel.admission

/**
 * Refuses requests at the entry point, before any work was done for them, when a service that they use is overloaded.
 *
 * Load pattern: requests of several routes end at the same small service, some of them with many calls. Refusing those calls
 * wastes the work of their callers, and refusing whatever arrives last hits important requests that need little. Replies
 * carry the slot time that a request used at each service, and the load of these services. From these, the throttle sheds
 * the excess where it costs the callers least: the least urgent routes first, and among those the ones that need most of the
 * overloaded service. Each route keeps a minimum share before a more urgent one is touched.
 */
class EntryThrottle {
    private class RouteState {
        val slotMs = HashMap<String, Double>()
        var priority = 0
        var requests = 0
        var requestsPerWindow = 0.0
        var admittedShare = 1.0
        var credit = 1.0
    }

    private val routes = HashMap<String, RouteState>()
    private val loads = ServiceLoads()
    private var plannedAtMs = 0L

    /** Learns the loads that a reply reports. */
    fun onLoads(reported: List<ServiceLoad>, nowMs: Long) = reported.forEach { loads.learn(it, nowMs) }

    /** Learns what a request of [route] that was served in whole used. */
    fun onServed(route: String, uses: List<ServiceUse>) {
        val slotMs = (routes[route] ?: return).slotMs
        uses.forEach { use -> slotMs.merge(use.service, use.slotMs) { mean, latest -> mean + (latest - mean) * COST_WEIGHT } }
    }

    /** Returns whether a request of [route] is admitted; a lower [priority] is more urgent. */
    fun admits(route: String, priority: Int, nowMs: Long): Boolean {
        val state = stateOf(route)
        state.priority = priority
        state.requests++
        if (nowMs - plannedAtMs >= PLAN_INTERVAL_MS) plan(nowMs)
        if (state.admittedShare >= 1.0) return true
        state.credit = (state.credit + state.admittedShare).coerceAtMost(MAX_CREDIT)
        return (state.credit >= 1.0).also { if (it) state.credit -= 1.0 }
    }

    /** Returns the number of requests that an admitted request of [route] stands for. */
    fun representedRequests(route: String): Double = 1.0 / (routes[route]?.admittedShare ?: 1.0)

    private fun plan(nowMs: Long) {
        val windowWeight = if (nowMs - plannedAtMs < MAX_PLAN_GAP_MS) DEMAND_WEIGHT else 1.0
        plannedAtMs = nowMs
        for (state in routes.values) {
            state.requestsPerWindow += (state.requests - state.requestsPerWindow) * windowWeight
            state.requests = 0
            state.admittedShare = 1.0
        }
        loads.current(nowMs).filter { it.ratio > TARGET_LOAD }.forEach { shed(it.service, 1.0 - TARGET_LOAD / it.ratio) }
    }

    private fun shed(service: String, excessShare: Double) {
        val users = routes.values.filter { (it.slotMs[service] ?: 0.0) > 0.0 }
        val byValue = users.sortedWith(compareByDescending<RouteState> { it.priority }.thenByDescending { it.slotMs.getValue(service) })
        var excessMs = users.sumOf { (excessShare + it.admittedShare - 1.0) * it.demandMs(service) }
        for (minShare in listOf(MIN_ADMITTED_SHARE, LAST_ADMITTED_SHARE)) {
            for (state in byValue) {
                val demandMs = state.demandMs(service)
                if (demandMs <= 0.0) continue
                val sheddableMs = (state.admittedShare - minShare).coerceAtLeast(0.0) * demandMs
                val shedMs = minOf(excessMs, sheddableMs).coerceAtLeast(0.0)
                state.admittedShare -= shedMs / demandMs
                excessMs -= shedMs
            }
        }
    }

    private fun RouteState.demandMs(service: String) = requestsPerWindow * slotMs.getValue(service)

    private fun stateOf(route: String): RouteState {
        if (routes.size >= MAX_ROUTES && route !in routes) routes.clear()
        return routes.getOrPut(route) { RouteState() }
    }

    private companion object {
        /** Interval at which the admitted shares are planned again, in milliseconds. */
        const val PLAN_INTERVAL_MS = 100L

        /** Time without a plan after which the earlier demand no longer counts, in milliseconds. */
        const val MAX_PLAN_GAP_MS = 2_000L

        /** Weight of the latest plan interval in the moving average of the demand. */
        const val DEMAND_WEIGHT = 0.1

        /** Weight of one request in the moving average of a route's slot times. */
        const val COST_WEIGHT = 0.2

        /** Load above which demand is shed; at a higher one, random arrivals queue for longer than callers wait. */
        const val TARGET_LOAD = 0.95

        /** Share of a route that is kept while a more urgent or cheaper one can be shed, so that no route starves. */
        const val MIN_ADMITTED_SHARE = 0.15

        /** Share of each route that is kept in any case. */
        const val LAST_ADMITTED_SHARE = 0.05

        /** Maximum number of requests admitted in a row after a pause. */
        const val MAX_CREDIT = 2.0

        /** Number of routes above which all state is reset, so that the map stays bounded. */
        const val MAX_ROUTES = 2_000
    }
}
