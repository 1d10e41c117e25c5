package wigeonreel.mesh

import wigeonreel.backend.BackendReport
import wigeonreel.backend.ReportOutcome

/** Takes what the backend server beside a daemon says of itself. */
interface BackendReports {
    /** Takes a report; returns what it changed. */
    fun report(report: BackendReport): ReportOutcome

    /** Takes the word that the server [instance] leaves for good. */
    fun leave(instance: String, startedAtMs: Long?)
}
