package wigeonreel.replay

/**
 * Upper bound on the share of the offered worth that any policy can earn under a load pattern.
 *
 * For each second and each service on its own, fills the service's capacity with the requests that earn most for their work
 * there; the least of these bounds counts. Queues, network, variance of service times and slots that are held while calls run
 * are left out, so the bound may be out of reach.
 */
internal class WorthBound(
    private val shape: LoadShape,
) {
    /** Returns the bound as a share of the offered worth over the whole pattern, retries not counted as offered. */
    fun earnedShare(): Double {
        var offered = 0.0
        var earned = 0.0
        for (atMs in 0 until shape.durationMs step STEP_MS) {
            val surge = if (atMs in shape.surgeSpan) shape.surge else 1.0
            val demand = shape.demand.map { Demand(it.kind, it.requestsPerSecond * surge) }
            offered += demand.sumOf { it.requestsPerSecond * it.kind.worth }
            earned += shape.services.minOf { earnedPerSecond(it, demand, atMs) }
        }
        return earned / offered
    }

    private fun earnedPerSecond(service: ServiceShape, demand: List<Demand>, atMs: Long): Double {
        var capacityMs = capacityMs(service, atMs)
        return demand.sortedByDescending { it.kind.worth / workMs(it.kind, service.name) }.sumOf {
            val neededMs = it.requestsPerSecond * workMs(it.kind, service.name)
            val share = if (neededMs <= capacityMs) 1.0 else capacityMs / neededMs
            capacityMs -= neededMs * share
            it.requestsPerSecond * it.kind.worth * share
        }
    }

    private fun workMs(kind: RequestKind, service: String): Double =
        (if (kind.service == service) kind.workMs else 0.0) + kind.calls.sumOf { workMs(it, service) }

    /** Work that the servers of [service] can do in a second, in milliseconds of work on a server of speed 1. */
    private fun capacityMs(service: ServiceShape, atMs: Long): Double {
        val count = service.serversPerDomain.sum()
        val speeds = List(count) { service.speeds[it % service.speeds.size] }
        val faulty = service.name in shape.faultyServices && atMs in shape.faultSpan
        val effective =
            speeds.mapIndexed { index, speed ->
                when {
                    !faulty -> speed
                    index < (count * shape.lostShare).toInt() -> 0.0
                    index < (count * shape.slowShare).toInt() -> speed / shape.slowFactor
                    else -> speed
                }
            }
        return effective.sum() * service.slots * STEP_MS
    }

    private companion object {
        const val STEP_MS = 1_000L
    }
}
