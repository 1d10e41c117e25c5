package wigeonreel.backend

/** Effect of a report on the tracked state. */
enum class ReportOutcome { NEW_SERVER, UPDATED, LEAVING, OUTDATED }

/**
 * Tracks the state of a daemon's backend server from its reports, which may arrive late, twice or out of order.
 *
 * Leaving is final: a server that has announced it is replaced only by a later start of a server.
 */
class BackendTracker {
    private data class Start(
        val instance: String,
        val startedAtMs: Long?,
    )

    private var currentStart: Start? = null
    private var sequence = Long.MIN_VALUE
    private val departuresByInstance = LinkedHashMap<String, Departure>()

    /** Latest accepted report, or null if there is none; in state DRAINING after the departure of its server. */
    var current: BackendReport? = null
        private set

    /** Whether the current server accepts new requests. */
    val ready: Boolean get() = current?.state == BackendState.READY

    /** Latest departure of each server, with those recorded last at the end. */
    val departures: List<Departure> get() = departuresByInstance.values.toList()

    /** Applies [report] unless it is outdated and returns its effect. */
    fun report(report: BackendReport): ReportOutcome {
        val reportedStart = Start(report.instance, report.startedAtMs)
        if (hasLeft(reportedStart) || isEarlierStart(report)) return ReportOutcome.OUTDATED
        val outcome = if (reportedStart == currentStart) update(report) else replace(report, reportedStart)
        // Without a start time, the report can't cover a start that gives one.
        if (current?.state == BackendState.DRAINING) record(Departure(report.instance, report.startedAtMs ?: Long.MIN_VALUE))
        return outcome
    }

    /** Records at [nowMs] the departure of the server [instance], which is final; returns whether it is the current server. */
    fun leave(instance: String, startedAtMs: Long?, nowMs: Long): Boolean {
        val lastStartedAtMs = startedAtMs ?: current?.takeIf { it.instance == instance }?.startedAtMs ?: nowMs
        return restore(Departure(instance, lastStartedAtMs))
    }

    /** Records [departure], which an earlier process may have stored; returns whether it is that of the current server. */
    fun restore(departure: Departure): Boolean {
        record(departure)
        val known = current?.takeIf { departure.covers(it.instance, it.startedAtMs) } ?: return false
        current = known.copy(state = BackendState.DRAINING)
        return true
    }

    private fun hasLeft(start: Start) = departuresByInstance[start.instance]?.covers(start.instance, start.startedAtMs) ?: false

    private fun isEarlierStart(report: BackendReport): Boolean {
        val known = currentStart?.startedAtMs ?: return false
        return report.startedAtMs != null && report.startedAtMs < known
    }

    private fun replace(report: BackendReport, reportedStart: Start): ReportOutcome {
        currentStart = reportedStart
        sequence = report.sequence ?: Long.MIN_VALUE
        current = report
        return ReportOutcome.NEW_SERVER
    }

    /** A late or duplicate report still counts if it reports draining, because draining is final. */
    private fun update(report: BackendReport): ReportOutcome {
        val isLate = report.sequence != null && report.sequence <= sequence
        if (isLate && report.state != BackendState.DRAINING) return ReportOutcome.OUTDATED
        if (!isLate) sequence = report.sequence ?: sequence
        current = report
        return if (report.state == BackendState.DRAINING) ReportOutcome.LEAVING else ReportOutcome.UPDATED
    }

    /** Keeps the later one of two departures of a server, since the earlier one may be announced again. */
    private fun record(departure: Departure) {
        val known = departuresByInstance[departure.instance]
        if (known != null && known.lastStartedAtMs >= departure.lastStartedAtMs) return
        departuresByInstance.remove(departure.instance)
        departuresByInstance[departure.instance] = departure
        if (departuresByInstance.size > MAX_DEPARTURES) departuresByInstance.remove(departuresByInstance.keys.first())
    }

    private companion object {
        /** Maximum number of stored departures; a VM sees only a few server starts within the time that a report can be late. */
        const val MAX_DEPARTURES = 32
    }
}
