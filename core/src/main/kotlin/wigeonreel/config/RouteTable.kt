package wigeonreel.config

/** Routes indexed by host; the route with the longest matching path prefix applies. */
class RouteTable(
    routes: List<RouteConfig>,
) {
    private val byHost = routes.groupBy { it.host.lowercase() }.mapValues { (_, group) -> group.sortedByDescending { it.prefix.length } }

    /** Returns the route for [host], which may include a port, and [path], or null if none matches. */
    fun find(host: String, path: String): RouteConfig? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
}
