package wigeonreel.routing

import wigeonreel.config.RouteConfig
import wigeonreel.config.RouteTarget

/**
 * Divides the requests of each route among its targets by weight.
 *
 * Smooth weighted round robin: over any few requests each target has its share, which random draws give only over many.
 */
class WeightedSplit {
    private class Turns(
        val targets: List<RouteTarget>,
    ) {
        val credit = DoubleArray(targets.size)
    }

    private val turns = HashMap<String, Turns>()

    /** Returns the service that takes the next request of [route]. */
    fun next(route: RouteConfig): String {
        if (route.targets.size == 1) return route.targets[0].service
        val known = turns[route.name]?.takeIf { it.targets == route.targets } ?: Turns(route.targets).also { turns[route.name] = it }
        return known.targets[take(known)].service
    }

    private fun take(turns: Turns): Int {
        val total = turns.targets.sumOf { it.weight }
        turns.targets.forEachIndexed { index, target -> turns.credit[index] += target.weight / total }
        val chosen = turns.credit.indices.maxBy { turns.credit[it] }
        turns.credit[chosen] -= 1.0
        return chosen
    }
}
