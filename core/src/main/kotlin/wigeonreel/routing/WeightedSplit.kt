package wigeonreel.routing

import wigeonreel.config.RouteConfig
import wigeonreel.config.RouteTarget

/**
 * Distributes the requests of each route over its targets by weight.
 *
 * Uses smooth weighted round robin, which gives each target its share within a few requests; a random choice needs many.
 */
class WeightedSplit {
    private class Credits(
        val targets: List<RouteTarget>,
    ) {
        val byTarget = DoubleArray(targets.size)
    }

    private val credits = HashMap<String, Credits>()

    /** Returns the target service of the next request of [route]. */
    fun next(route: RouteConfig): String {
        if (route.targets.size == 1) return route.targets[0].service
        val entry = credits[route.name]?.takeIf { it.targets == route.targets } ?: Credits(route.targets).also { credits[route.name] = it }
        return entry.targets[pick(entry)].service
    }

    private fun pick(credits: Credits): Int {
        val total = credits.targets.sumOf { it.weight }
        credits.targets.forEachIndexed { index, target -> credits.byTarget[index] += target.weight / total }
        val chosen = credits.byTarget.indices.maxBy { credits.byTarget[it] }
        credits.byTarget[chosen] -= 1.0
        return chosen
    }
}
