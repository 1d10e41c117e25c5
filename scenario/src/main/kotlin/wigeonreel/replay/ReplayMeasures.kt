package wigeonreel.replay

import wigeonreel.outcome.Refusal
import wigeonreel.place.Distance

/** Counts the results of requests in a replay, and the failed calls by cause. */
internal class ReplayMeasures(
    private val shape: LoadShape,
) {
    private class KindCounts {
        var sent = 0
        var inTime = 0
        var late = 0
        var refused = 0
        var failed = 0
        var throttled = 0
    }

    private val kinds = shape.demand.associate { it.kind.name to KindCounts() }
    private val failedCallsByCause = HashMap<String, Int>()
    private val placementsByDistance = HashMap<Distance, Int>()
    private val offeredWorthByWindow = HashMap<Long, Double>()
    private val earnedWorthByWindow = HashMap<Long, Double>()

    /** Requests and calls that a guard rejected while a server of the same service had a free slot. */
    var rejectedDespiteFreeSlot = 0
        private set

    /** Requests and calls that a guard rejected. */
    var rejected = 0
        private set

    fun onSent(kind: RequestKind, sentMs: Long) {
        countsOf(kind).sent++
        offeredWorthByWindow.merge(sentMs / WINDOW_MS, kind.worth, Double::plus)
    }

    fun onServed(kind: RequestKind, sentMs: Long, tookMs: Long) {
        val inTime = tookMs <= kind.objectiveMs
        if (inTime) countsOf(kind).inTime++ else countsOf(kind).late++
        earnedWorthByWindow.merge(sentMs / WINDOW_MS, if (inTime) kind.worth else kind.lateWorth, Double::plus)
    }

    fun onNotServed(kind: RequestKind, refusal: Refusal?) {
        if (refusal == null) countsOf(kind).failed++ else countsOf(kind).refused++
    }

    fun onThrottled(kind: RequestKind) {
        countsOf(kind).throttled++
    }

    fun onRejected(kind: RequestKind, nested: Boolean, hasFreeSlot: Boolean) {
        rejected++
        if (hasFreeSlot) rejectedDespiteFreeSlot++
        if (nested) failedCallsByCause.merge("${kind.name} turned away", 1, Int::plus)
    }

    fun onCallFailed(kind: RequestKind, refusal: Refusal?) {
        failedCallsByCause.merge("${kind.name} ${refusal?.wireName ?: "failed"}", 1, Int::plus)
    }

    fun onPlaced(distance: Distance) {
        placementsByDistance.merge(distance, 1, Int::plus)
    }

    /** Earned worth as a share of the offered worth, over the whole run. */
    val earnedShare: Double get() = earnedWorthByWindow.values.sum() / offeredWorthByWindow.values.sum()

    /** Minimum of [earnedShare] over the time windows. */
    val minWindowShare: Double
        get() = offeredWorthByWindow.keys.minOf { (earnedWorthByWindow[it] ?: 0.0) / offeredWorthByWindow.getValue(it) }

    /** Share of the requests of the kind [name] that were served. */
    fun servedShare(name: String): Double = kinds.getValue(name).let { (it.inTime + it.late).toDouble() / it.sent }

    /** Returns the text report: a summary line, one line per kind of request, and the failed calls by cause. */
    fun report(): String =
        buildString {
            append("${shape.name}: earned ${percent(earnedShare)} of at most ${percent(WorthBound(shape).earnedShare())}, ")
            append("worst window ${percent(minWindowShare)}, ")
            appendLine("turned away $rejected ($rejectedDespiteFreeSlot with room elsewhere), placed $placementsByDistance")
            kinds.forEach { (name, it) ->
                appendLine(
                    "  $name: asked ${it.sent} in time ${it.inTime} late ${it.late} refused ${it.refused} failed ${it.failed} throttled ${it.throttled}",
                )
            }
            append("  calls: ${failedCallsByCause.toSortedMap()}")
        }

    private fun countsOf(kind: RequestKind) = kinds.getValue(kind.name)

    private fun percent(share: Double) = "%.1f%%".format(share * PERCENT)

    private companion object {
        const val WINDOW_MS = 2_000L
        const val PERCENT = 100
    }
}
