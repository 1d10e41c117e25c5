package wigeonreel.admission

import wigeonreel.config.Worth

/** Demand of one stream over a window: [requests] seen, and the account's [weight]. */
data class StreamDemand(
    val stream: Stream,
    val requests: Double,
    val weight: Double,
)

/**
 * Returns the cut of each stream for a server that can complete [capacity] requests in the window.
 *
 * Classes are served most important first. Within the class that does not fit, accounts get the same
 * amount for each unit of weight, and what an account does not ask for goes to the others.
 */
fun planCuts(demands: List<StreamDemand>, capacity: Double): Map<Stream, Cut> {
    var left = capacity
    val cuts = HashMap<Stream, Cut>()
    for (worth in Worth.entries.reversed()) {
        val ofClass = demands.filter { it.stream.worth == worth }
        val granted = shareByWeight(ofClass, left)
        ofClass.forEachIndexed { i, demand -> cuts[demand.stream] = cutFor(demand, granted[i]) }
        left = (left - ofClass.sumOf { it.requests }).coerceAtLeast(0.0)
    }
    return cuts
}

private fun cutFor(demand: StreamDemand, granted: Double): Cut =
    if (demand.requests <= 0.0) Cut.NONE else Cut.admitting(granted / demand.requests)

private fun shareByWeight(demands: List<StreamDemand>, capacity: Double): DoubleArray {
    val granted = DoubleArray(demands.size)
    var left = capacity
    var weightLeft = demands.sumOf { it.weight }
    val neediestLast = demands.indices.sortedBy { demands[it].requests / demands[it].weight }
    for (i in neediestLast) {
        val fairShare = if (weightLeft > 0.0) left * demands[i].weight / weightLeft else 0.0
        granted[i] = minOf(demands[i].requests, fairShare)
        left -= granted[i]
        weightLeft -= demands[i].weight
    }
    return granted
}
