package wigeonreel.admission

/** Mean service time of each route at one server, as moving averages in milliseconds. */
class ServiceTimes {
    private val means = HashMap<String, Double>()

    /** Notes that a request of [route] took [elapsedMs]. */
    fun learn(route: String, elapsedMs: Double) {
        val known = means[route]
        means[route] = if (known == null) elapsedMs else known + (elapsedMs - known) * WEIGHT
        if (means.size > MAX_ROUTES) means.clear()
    }

    /** Returns the mean of [route], or that of all routes while it is unknown. */
    fun meanMs(route: String): Double = means[route] ?: if (means.isEmpty()) DEFAULT_MS else means.values.average()

    private companion object {
        /** Weight of one answer; twenty answers replace most of the past, about a second of work of one slot. */
        const val WEIGHT = 0.05

        /** Assumed before the first answer. */
        const val DEFAULT_MS = 50.0

        /** Routes remembered before the averages start anew. */
        const val MAX_ROUTES = 2_000
    }
}
