package wigeonreel.mesh

import wigeonreel.backend.BackendReport
import wigeonreel.backend.ReportOutcome

/** Receives the reports of the local backend server about itself. */
interface BackendReports {
    /** Applies [report] and returns what it changed. */
    fun report(report: BackendReport): ReportOutcome

    /** Marks the server [instance] as leaving permanently; [startedAtMs] is null if its start time is unknown. */
    fun leave(instance: String, startedAtMs: Long?)
}
