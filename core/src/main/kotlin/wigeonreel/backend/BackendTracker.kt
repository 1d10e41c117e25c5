package wigeonreel.backend

/** Effect of a report on the tracked state. */
enum class ReportOutcome { NEW_SERVER, UPDATED, LEAVING, OUTDATED }

/**
 * Tracks the state of a daemon's backend server from its reports, which may arrive late, twice or out of order.
 *
 * Draining is final: a server that has reported it is replaced only by a later start of a server.
 */
class BackendTracker {
    private data class Start(
        val instance: String,
        val startedAtMs: Long?,
    )

    /** Departure of the start of [instance] at [startedAtMs]; if that is null, of all its starts up to [notAfterMs]. */
    private data class Departure(
        val instance: String,
        val startedAtMs: Long?,
        val notAfterMs: Long,
    ) {
        fun covers(start: Start) =
            start.instance == instance &&
                (
                    start.startedAtMs == null ||
                        (if (startedAtMs != null) start.startedAtMs == startedAtMs else start.startedAtMs <= notAfterMs)
                )
    }

    private var currentStart: Start? = null
    private var sequence = Long.MIN_VALUE
    private val departures = LinkedHashSet<Departure>()

    /** Latest accepted report, or null if there is none; in state DRAINING after the departure of its server. */
    var current: BackendReport? = null
        private set

    /** Whether the current server accepts new requests. */
    val ready: Boolean get() = current?.state == BackendState.READY

    /** Applies [report] unless it is outdated and returns its effect. */
    fun report(report: BackendReport): ReportOutcome {
        val reportedStart = Start(report.instance, report.startedAtMs)
        if (departures.any { it.covers(reportedStart) } || isEarlierStart(report)) return ReportOutcome.OUTDATED
        if (reportedStart != currentStart) return replace(report, reportedStart)
        if (report.sequence != null && report.sequence <= sequence) return onLateReport(report)
        sequence = report.sequence ?: sequence
        return update(report)
    }

    /** Records at [nowMs] the departure of the server [instance], which is final; returns whether it is the current server. */
    fun leave(instance: String, startedAtMs: Long?, nowMs: Long): Boolean {
        val known = current
        val isCurrent =
            known?.instance == instance && (startedAtMs == null || known.startedAtMs == null || known.startedAtMs == startedAtMs)
        recordDeparture(Departure(instance, startedAtMs ?: known?.startedAtMs?.takeIf { isCurrent }, nowMs))
        if (isCurrent) current = known?.copy(state = BackendState.DRAINING)
        return isCurrent
    }

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
    private fun onLateReport(report: BackendReport): ReportOutcome =
        if (report.state == BackendState.DRAINING) update(report) else ReportOutcome.OUTDATED

    private fun update(report: BackendReport): ReportOutcome {
        val leaving = report.state == BackendState.DRAINING || current?.state == BackendState.DRAINING
        current = report.copy(state = if (leaving) BackendState.DRAINING else BackendState.READY)
        return if (leaving) ReportOutcome.LEAVING else ReportOutcome.UPDATED
    }

    private fun recordDeparture(departure: Departure) {
        departures += departure
        if (departures.size > MAX_DEPARTURES) departures.remove(departures.first())
    }

    private companion object {
        /** Maximum number of stored departures; a VM sees only a few server starts within the time that a report can be late. */
        const val MAX_DEPARTURES = 32
    }
}
