package wigeonreel.replay

import wigeonreel.outcome.Refusal
import wigeonreel.place.Distance

/** What callers got in a replay, and where it was lost. */
internal class ReplayMeasures(
    private val shape: LoadShape,
) {
    private class KindCounts {
        var asked = 0
        var inTime = 0
        var late = 0
        var refused = 0
        var failed = 0
    }

    private val kinds = shape.demand.associate { it.kind.name to KindCounts() }
    private val callsFailed = HashMap<String, Int>()
    private val placed = HashMap<Distance, Int>()
    private val windowOwed = HashMap<Long, Double>()
    private val windowEarned = HashMap<Long, Double>()

    /** Requests and calls that a guard turned away while another server of the service had a free slot. */
    var turnedAwayWithRoom = 0
        private set

    /** Requests and calls that a guard turned away. */
    var turnedAway = 0
        private set

    fun onAsked(kind: RequestKind, atMs: Long) {
        countsOf(kind).asked++
        windowOwed.merge(atMs / WINDOW_MS, kind.worth, Double::plus)
    }

    fun onServed(kind: RequestKind, atMs: Long, tookMs: Long) {
        val inTime = tookMs <= kind.objectiveMs
        if (inTime) countsOf(kind).inTime++ else countsOf(kind).late++
        windowEarned.merge(atMs / WINDOW_MS, if (inTime) kind.worth else kind.lateWorth, Double::plus)
    }

    fun onLost(kind: RequestKind, refusal: Refusal?) {
        if (refusal == null) countsOf(kind).failed++ else countsOf(kind).refused++
    }

    fun onTurnedAway(kind: RequestKind, begun: Boolean, roomElsewhere: Boolean) {
        turnedAway++
        if (roomElsewhere) turnedAwayWithRoom++
        if (begun) callsFailed.merge("${kind.name} turned away", 1, Int::plus)
    }

    fun onCallFailed(kind: RequestKind, refusal: Refusal?) {
        callsFailed.merge("${kind.name} ${refusal?.wireName ?: "failed"}", 1, Int::plus)
    }

    fun onPlaced(distance: Distance) {
        placed.merge(distance, 1, Int::plus)
    }

    /** Worth earned in share of the worth owed, over the whole run. */
    val earned: Double get() = windowEarned.values.sum() / windowOwed.values.sum()

    /** The same in the worst window. */
    val worstWindow: Double get() = windowOwed.keys.minOf { (windowEarned[it] ?: 0.0) / windowOwed.getValue(it) }

    /** Share of the requests of the kind [name] that were served. */
    fun served(name: String): Double = kinds.getValue(name).let { (it.inTime + it.late).toDouble() / it.asked }

    /** One line for each kind and cause. */
    fun report(): String =
        buildString {
            append("${shape.name}: earned ${percent(earned)}, worst window ${percent(worstWindow)}, ")
            appendLine("turned away $turnedAway ($turnedAwayWithRoom with room elsewhere), placed $placed")
            kinds.forEach { (name, it) ->
                appendLine("  $name: asked ${it.asked} in time ${it.inTime} late ${it.late} refused ${it.refused} failed ${it.failed}")
            }
            append("  calls: ${callsFailed.toSortedMap()}")
        }

    private fun countsOf(kind: RequestKind) = kinds.getValue(kind.name)

    private fun percent(share: Double) = "%.1f%%".format(share * PERCENT)

    private companion object {
        const val WINDOW_MS = 2_000L
        const val PERCENT = 100
    }
}
