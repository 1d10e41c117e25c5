package wigeonreel.admission

/** Mean service time of each route at one server, kept as exponential moving averages in milliseconds. */
class ServiceTimes {
    private val means = HashMap<String, Double>()

    /** Adds a request of [route] that took [elapsedMs] to the average. */
    fun record(route: String, elapsedMs: Double) {
        val mean = means[route]
        means[route] = if (mean == null) elapsedMs else mean + (elapsedMs - mean) * SAMPLE_WEIGHT
        if (means.size > MAX_ROUTES) means.clear()
    }

    /** Returns the mean of [route], or null before its first sample. */
    fun sampledMeanMs(route: String): Double? = means[route]

    /** Returns the mean of [route]; before its first sample, the average over all routes or, without any, a default. */
    fun meanMs(route: String): Double = means[route] ?: if (means.isEmpty()) DEFAULT_MS else means.values.average()

    private companion object {
        /** Weight of one sample; twenty samples, about one second of one slot's work, make up most of the average. */
        const val SAMPLE_WEIGHT = 0.05

        /** Mean assumed before the first sample of any route, in milliseconds. */
        const val DEFAULT_MS = 50.0

        /** Number of routes above which all averages are reset, so that the map stays bounded. */
        const val MAX_ROUTES = 2_000
    }
}
