package wigeonreel.config

/** Routes indexed by host; the longest prefix that begins the path decides. */
class RouteTable(
    routes: List<RouteConfig>,
) {
    private val byHost = routes.groupBy { it.host.lowercase() }.mapValues { (_, found) -> found.sortedByDescending { it.prefix.length } }

    /** Returns the route of [host], which may carry a port, and [path], or null when none matches. */
    fun find(host: String, path: String): RouteConfig? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
}
