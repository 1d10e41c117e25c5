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
    fun `reports that come late, twice or out of order`() =
        listOf(
            Case("first report", { report(report()) }, "a", true),
            Case("a drained server stays so", {
                listOf(report(), report(sequence = 2, state = BackendState.DRAINING), report(sequence = 3)).forEach { report(it) }
            }, "a", false),
            Case("late word of draining counts", {
                listOf(report(sequence = 5), report(sequence = 4, state = BackendState.DRAINING)).forEach { report(it) }
            }, "a", false),
            Case("late word of readiness does not", {
                listOf(report(sequence = 5, state = BackendState.DRAINING), report(sequence = 4)).forEach { report(it) }
            }, "a", false),
            Case("heartbeat of a crashed server after its successor's", {
                listOf(report("b", startedAtMs = 200), report("a", 9)).forEach { report(it) }
            }, "b", true),
            Case("new start under the same id", {
                listOf(report(sequence = 9), report(sequence = 1, startedAtMs = 200)).forEach { report(it) }
            }, "a", true),
            Case(
                "departure, then a late heartbeat",
                { report(report()).also { leave("a", null, 500) }.also { report(report(sequence = 2)) } },
                "a",
                false,
            ),
            Case("departure before any heartbeat", { leave("a", 100, 500).also { report(report()) } }, null, false),
            // Found by hunt-e0e4-3: the daemon had restarted, and a heartbeat of before the departure came after it.
            Case(
                "departure without its start before any heartbeat, then a late one",
                { leave("a", null, 500).also { report(report(sequence = 28)) } },
                null,
                false,
            ),
            Case(
                "new start under the same id after such a departure",
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
