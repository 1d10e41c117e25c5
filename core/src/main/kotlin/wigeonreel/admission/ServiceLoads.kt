package wigeonreel.admission

/** Demand for a service as a multiple of the capacity of its servers. */
data class ServiceLoad(
    val service: String,
    val ratio: Double,
)

/** Loads of services, as reported by replies. */
class ServiceLoads {
    private class Entry(
        var ratio: Double,
        var learnedAtMs: Long,
    )

    private val entries = LinkedHashMap<String, Entry>()

    /** Averages [load] with the earlier reports on the service. */
    fun learn(load: ServiceLoad, nowMs: Long) {
        val entry = entries.getOrPut(load.service) { Entry(load.ratio, nowMs) }
        entry.ratio = if (nowMs - entry.learnedAtMs < VALID_MS) entry.ratio + (load.ratio - entry.ratio) * REPORT_WEIGHT else load.ratio
        entry.learnedAtMs = nowMs
        if (entries.size > MAX_SERVICES) entries.clear()
    }

    /** Returns the loads that were reported lately. */
    fun current(nowMs: Long): List<ServiceLoad> =
        entries.mapNotNull { (service, entry) -> ServiceLoad(service, entry.ratio).takeIf { nowMs - entry.learnedAtMs < VALID_MS } }

    private companion object {
        /** Weight of one report, so that reports of several servers are averaged. */
        const val REPORT_WEIGHT = 0.3

        /** Time for which a report is used, in milliseconds; the next requests show whether the load has passed. */
        const val VALID_MS = 1_000L

        /** Number of services above which all reports are dropped, so that the map stays bounded. */
        const val MAX_SERVICES = 1_000
    }
}
