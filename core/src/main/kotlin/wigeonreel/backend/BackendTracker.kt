package wigeonreel.backend

/** What a report changed. */
enum class ReportOutcome { NEW_SERVER, UPDATED, LEAVING, OUTDATED }

/**
 * State of the backend server beside a daemon, from its reports, which may come late, twice and out of order.
 *
 * A server that once said that it leaves stays so: only a later start of a server takes its place.
 */
class BackendTracker {
    private data class Start(
        val instance: String,
        val startedAtMs: Long?,
    )

    /** Departure of [instance]; when its start is not known, of every start up to [notAfterMs]. */
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

    private var start: Start? = null
    private var sequence = Long.MIN_VALUE
    private val left = LinkedHashSet<Departure>()

    /** Latest report in force, or null while none came or after the server has left. */
    var current: BackendReport? = null
        private set

    /** Whether the current server takes new requests. */
    val ready: Boolean get() = current?.state == BackendState.READY

    /** Takes a report. */
    fun report(report: BackendReport): ReportOutcome {
        val said = Start(report.instance, report.startedAtMs)
        if (left.any { it.covers(said) } || isEarlierStart(report)) return ReportOutcome.OUTDATED
        if (said != start) return replace(report, said)
        if (report.sequence != null && report.sequence <= sequence) return onRepeated(report)
        sequence = report.sequence ?: sequence
        return keep(report)
    }

    /** Notes at [nowMs] that the server [instance] leaves for good; returns whether it is the current one. */
    fun leave(instance: String, startedAtMs: Long?, nowMs: Long): Boolean {
        val known = current
        val isCurrent =
            known?.instance == instance && (startedAtMs == null || known.startedAtMs == null || known.startedAtMs == startedAtMs)
        remember(Departure(instance, startedAtMs ?: known?.startedAtMs?.takeIf { isCurrent }, nowMs))
        if (isCurrent) current = known?.copy(state = BackendState.DRAINING)
        return isCurrent
    }

    private fun isEarlierStart(report: BackendReport): Boolean {
        val known = start?.startedAtMs ?: return false
        return report.startedAtMs != null && report.startedAtMs < known
    }

    private fun replace(report: BackendReport, said: Start): ReportOutcome {
        start = said
        sequence = report.sequence ?: Long.MIN_VALUE
        current = report
        return ReportOutcome.NEW_SERVER
    }

    /** A report that came late may still tell of leaving. */
    private fun onRepeated(report: BackendReport): ReportOutcome =
        if (report.state == BackendState.DRAINING) keep(report) else ReportOutcome.OUTDATED

    private fun keep(report: BackendReport): ReportOutcome {
        val leaving = report.state == BackendState.DRAINING || current?.state == BackendState.DRAINING
        current = report.copy(state = if (leaving) BackendState.DRAINING else BackendState.READY)
        return if (leaving) ReportOutcome.LEAVING else ReportOutcome.UPDATED
    }

    private fun remember(gone: Departure) {
        left += gone
        if (left.size > MAX_REMEMBERED) left.remove(left.first())
    }

    private companion object {
        /** Departed servers remembered; one VM sees a handful of starts in the time for which reports can be late. */
        const val MAX_REMEMBERED = 32
    }
}
