package wigeonreel.backend

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class BackendTrackerTest {
    private fun report(instance: String = "a", sequence: Long = 1, startedAtMs: Long? = 100, state: BackendState = BackendState.READY) =
        BackendReport(instance, "s", "10.0.0.1", 80, 10, state, 0, sequence, startedAtMs)

    private class Case(
        val name: String,
        val steps: BackendTracker.() -> Unit,
        val instance: String?,
        val ready: Boolean,
    )

    @TestFactory
    fun `reports that arrive late, twice or out of order`() =
        listOf(
            Case("first report", { report(report()) }, "a", true),
            Case("a draining server stays draining", {
                listOf(report(), report(sequence = 2, state = BackendState.DRAINING), report(sequence = 3)).forEach { report(it) }
            }, "a", false),
            Case("late report of draining counts", {
                listOf(report(sequence = 5), report(sequence = 4, state = BackendState.DRAINING)).forEach { report(it) }
            }, "a", false),
            Case("late report of readiness is ignored", {
                listOf(report(sequence = 5, state = BackendState.DRAINING), report(sequence = 4)).forEach { report(it) }
            }, "a", false),
            Case("heartbeat of a crashed server after that of its successor", {
                listOf(report("b", startedAtMs = 200), report("a", 9)).forEach { report(it) }
            }, "b", true),
            Case("new start with the same instance id", {
                listOf(report(sequence = 9), report(sequence = 1, startedAtMs = 200)).forEach { report(it) }
            }, "a", true),
            Case(
                "departure, then a late heartbeat",
                { report(report()).also { leave("a", null, 500) }.also { report(report(sequence = 2)) } },
                "a",
                false,
            ),
            Case("departure before any heartbeat", { leave("a", 100, 500).also { report(report()) } }, null, false),
            // After a daemon restart, a heartbeat sent before the departure can arrive after it.
            Case(
                "departure without a start time before any heartbeat, then a late heartbeat",
                { leave("a", null, 500).also { report(report(sequence = 28)) } },
                null,
                false,
            ),
            Case(
                "new start with the same instance id after a departure without a start time",
                { leave("a", null, 500).also { report(report(startedAtMs = 900)) } },
                "a",
                true,
            ),
            Case("departure of another server", { report(report()).also { leave("b", null, 500) } }, "a", true),
            Case(
                "successor after a departure",
                { report(report()).also { leave("a", 100, 500) }.also { report(report("b", 1, 300)) } },
                "b",
                true,
            ),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val tracker = BackendTracker().apply(case.steps)
                expectThat(tracker.current?.instance).isEqualTo(case.instance)
                expectThat(tracker.ready).isEqualTo(case.ready)
            }
        }
}
