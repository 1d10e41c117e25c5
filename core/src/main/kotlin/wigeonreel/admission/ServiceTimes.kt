package wigeonreel.admission

/** Mean service time of each route at one server, kept as exponential moving averages in milliseconds. */
class ServiceTimes {
    private class Mean {
        var samples = 0
        var ms = 0.0

        /** Averages the first samples evenly, since those of a daemon that has just started are much slower than the later ones. */
        fun add(elapsedMs: Double) {
            samples++
            ms += (elapsedMs - ms) * maxOf(SAMPLE_WEIGHT, 1.0 / samples)
        }
    }

    private val means = HashMap<String, Mean>()

    /** Adds a request of [route] that took [elapsedMs] to the average. */
    fun record(route: String, elapsedMs: Double) {
        means.getOrPut(route) { Mean() }.add(elapsedMs)
        if (means.size > MAX_ROUTES) means.clear()
    }

    /** Returns the mean of [route], or null before it has enough samples to compare the server with others. */
    fun settledMeanMs(route: String): Double? = means[route]?.takeIf { it.samples >= SETTLED_SAMPLES }?.ms

    /** Returns the mean of [route]; before its first sample, the average over all routes or, without any, a default. */
    fun meanMs(route: String): Double = means[route]?.ms ?: if (means.isEmpty()) DEFAULT_MS else means.values.sumOf { it.ms } / means.size

    private companion object {
        /** Weight of one sample; twenty samples, about one second of one slot's work, make up most of the average. */
        const val SAMPLE_WEIGHT = 0.05

        /** Number of samples that a mean needs before requests are refused or placed elsewhere by it. */
        const val SETTLED_SAMPLES = 10

        /** Mean assumed before the first sample of any route, in milliseconds. */
        const val DEFAULT_MS = 50.0

        /** Number of routes above which all averages are reset, so that the map stays bounded. */
        const val MAX_ROUTES = 2_000
    }
}
