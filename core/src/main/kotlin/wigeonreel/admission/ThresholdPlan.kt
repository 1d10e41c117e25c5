package wigeonreel.admission

import wigeonreel.config.Worth

/** Demand of one stream over a window: number of [requests] that arrived, and the account's [weight]. */
data class StreamDemand(
    val stream: Stream,
    val requests: Double,
    val weight: Double,
)

/**
 * Returns the admission threshold of each stream for a server that can complete [capacity] requests in the window.
 *
 * Worth classes are served most important first. Within the first class that exceeds the remaining capacity, the capacity
 * is divided among accounts in proportion to their weights (weighted max-min fairness); capacity that an account does not
 * use goes to the others.
 */
fun planThresholds(demands: List<StreamDemand>, capacity: Double): Map<Stream, AdmissionThreshold> {
    var capacityLeft = capacity
    val thresholds = HashMap<Stream, AdmissionThreshold>()
    for (worth in Worth.entries.reversed()) {
        val classDemands = demands.filter { it.stream.worth == worth }
        val granted = shareByWeight(classDemands, capacityLeft)
        classDemands.forEachIndexed { i, demand -> thresholds[demand.stream] = thresholdFor(demand, granted[i]) }
        capacityLeft = (capacityLeft - classDemands.sumOf { it.requests }).coerceAtLeast(0.0)
    }
    return thresholds
}

private fun thresholdFor(demand: StreamDemand, granted: Double): AdmissionThreshold =
    if (demand.requests <= 0.0) AdmissionThreshold.NONE else AdmissionThreshold.admitting(granted / demand.requests)

private fun shareByWeight(demands: List<StreamDemand>, capacity: Double): DoubleArray {
    val granted = DoubleArray(demands.size)
    var capacityLeft = capacity
    var weightLeft = demands.sumOf { it.weight }
    val byDemandPerWeight = demands.indices.sortedBy { demands[it].requests / demands[it].weight }
    for (i in byDemandPerWeight) {
        val fairShare = if (weightLeft > 0.0) capacityLeft * demands[i].weight / weightLeft else 0.0
        granted[i] = minOf(demands[i].requests, fairShare)
        capacityLeft -= granted[i]
        weightLeft -= demands[i].weight
    }
    return granted
}
