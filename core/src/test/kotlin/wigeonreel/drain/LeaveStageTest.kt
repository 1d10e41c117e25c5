package wigeonreel.drain

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LeaveStageTest {
    private class Case(
        val name: String,
        val sinceMs: Long,
        val open: Int,
        val expected: LeaveStage,
        val graceMs: Long = 6_000,
    )

    @TestFactory
    fun `peers use the backend server until shortly before the daemon ends`() =
        listOf(
            Case("just told", 0, 0, LeaveStage.CALLERS_TOLD),
            Case("callers are leaving", 1_400, 5, LeaveStage.CALLERS_TOLD),
            Case("peers are told", 1_600, 5, LeaveStage.PEERS_TOLD),
            Case("nothing is open before callers have noticed", 2_400, 0, LeaveStage.PEERS_TOLD),
            Case("nothing is open", 2_600, 0, LeaveStage.DONE),
            Case("something is open", 5_000, 1, LeaveStage.PEERS_TOLD),
            Case("the grace period ends", 5_800, 1, LeaveStage.DONE),
            Case("a short grace period", 500, 1, LeaveStage.PEERS_TOLD, graceMs = 1_000),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) { expectThat(leaveStage(case.sinceMs, case.open, case.graceMs)).isEqualTo(case.expected) }
        }
}
