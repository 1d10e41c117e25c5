package wigeonreel.bench

import kotlinx.serialization.json.Json

/** Runs all overload cases with each [Control] and prints the measures, as callers see them. */
internal class OverloadBench(
    private val seed: Long,
) {
    fun run() {
        println("%-34s %-12s %10s %9s %9s %7s".format("case", "control", "goodput/s", "critical", "recovery", "worst"))
        val reports =
            OverloadCase.ALL.flatMap { case ->
                Control.entries.map { control -> OverloadRun(case, control, seed).run().report(control) }
            }
        reports.forEach { print(it) }
        println(summary(reports.filter { it.control == "wigeonreel" }))
    }

    private fun print(report: OverloadReport) {
        val recovery = if (report.recoveryMs < 0) "never" else "${report.recoveryMs} ms"
        val line = "%-34s %-12s %10.0f %8.2f%% %9s %6.1f%%"
        println(
            line.format(
                report.case,
                report.control,
                report.goodputPerSecond,
                report.criticalWhole * 100,
                recovery,
                report.worstServed * 100,
            ),
        )
    }

    private fun summary(reports: List<OverloadReport>): String {
        val goodputAt1x = reports.first { it.case == "1x" }.goodputPerSecond
        val goodputRatio = { name: String -> reports.first { it.case == name }.goodputPerSecond / goodputAt1x }
        val recovery = reports.maxOf { if (it.recoveryMs < 0) Long.MAX_VALUE else it.recoveryMs }
        val summary =
            OverloadSummary(
                seed = seed,
                goodputAt2x = goodputRatio("2x"),
                goodputAt10x = goodputRatio("10x"),
                criticalWhole = reports.minOf { it.criticalWhole },
                recoveryMs = if (recovery == Long.MAX_VALUE) -1 else recovery,
                worstServed = reports.minOf { it.worstServed },
            )
        return Json.encodeToString(OverloadSummary.serializer(), summary)
    }
}

/** Goodput of the cases 2x and 10x relative to case 1x, and the worst value of each other measure over all cases. */
@kotlinx.serialization.Serializable
internal data class OverloadSummary(
    val seed: Long,
    val goodputAt2x: Double,
    val goodputAt10x: Double,
    val criticalWhole: Double,
    val recoveryMs: Long,
    val worstServed: Double,
    val bench: String = "overload",
)
