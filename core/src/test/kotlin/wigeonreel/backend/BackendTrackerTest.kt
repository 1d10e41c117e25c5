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
            Case("second departure of an id, then a late heartbeat", {
                report(report())
                leave("a", 100, 500)
                report(report(startedAtMs = 600))
                leave("a", 600, 900)
                report(report(sequence = 7, startedAtMs = 600))
            }, "a", false),
            Case("late departure of the start before", {
                leave("a", 100, 500)
                report(report(startedAtMs = 600))
                leave("a", 100, 900)
            }, "a", true),
            Case("departure of a start that sent no heartbeat", {
                report(report())
                leave("a", 600, 900)
            }, "a", false),
            // The daemon took such a heartbeat of another writer for a new start, and the server got requests until it ended.
            Case("a heartbeat without a start time after draining", {
                report(report(state = BackendState.DRAINING))
                report(report(sequence = 2, startedAtMs = null))
            }, "a", false),
            Case("draining without a start time, then the next heartbeat of the server", {
                report(report())
                report(report(sequence = 2, startedAtMs = null, state = BackendState.DRAINING))
                report(report(sequence = 2))
            }, "a", true),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val tracker = BackendTracker().apply(case.steps)
                expectThat(tracker.current?.instance).isEqualTo(case.instance)
                expectThat(tracker.ready).isEqualTo(case.ready)
            }
        }

    private class RestartCase(
        val name: String,
        val steps: BackendTracker.() -> Unit,
        val late: BackendReport,
        val ready: Boolean,
    )

    /** The second departure of a server under the same id was not kept, and the daemon sent it requests after a restart. */
    @TestFactory
    fun `a late report after the departures of an earlier process were restored`() =
        listOf(
            RestartCase("nothing has left", { report(report()) }, report(), true),
            RestartCase("the departure", { leave("a", 100, 500) }, report(), false),
            RestartCase("a later start", { leave("a", 100, 500) }, report(startedAtMs = 600), true),
            RestartCase("second departure of an id", {
                leave("a", 100, 500)
                leave("a", 600, 900)
            }, report(startedAtMs = 600), false),
            RestartCase("second departure of an id, late report of the first start", {
                leave("a", 100, 500)
                leave("a", 600, 900)
            }, report(), false),
            RestartCase("the first departure is repeated after the second", {
                leave("a", 600, 900)
                leave("a", 100, 950)
            }, report(startedAtMs = 600), false),
            RestartCase("departure of another server in between", {
                leave("a", 100, 500)
                leave("b", 300, 550)
                leave("a", 600, 900)
            }, report("b", startedAtMs = 300), false),
            RestartCase("draining", { report(report(state = BackendState.DRAINING)) }, report(sequence = 2), false),
            RestartCase("second draining of an id", {
                report(report(state = BackendState.DRAINING))
                report(report(startedAtMs = 600))
                report(report(sequence = 2, startedAtMs = 600, state = BackendState.DRAINING))
            }, report(startedAtMs = 600), false),
            RestartCase("draining without a start time", {
                report(report(startedAtMs = null, state = BackendState.DRAINING))
            }, report(startedAtMs = null), false),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val before = BackendTracker().apply(case.steps)
                val after = BackendTracker().apply { before.departures.forEach { restore(it) } }
                after.report(case.late)
                expectThat(after.ready).isEqualTo(case.ready)
                expectThat(BackendTracker().apply { before.departures.forEach { restore(it) } }.departures).isEqualTo(before.departures)
            }
        }
}
