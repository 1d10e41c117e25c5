package wigeonreel.drain

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class DrainStateTest {
    private class Case(
        val name: String,
        val before: DrainState,
        val inFlight: Int,
        val nowMs: Long,
        val after: DrainState,
    )

    private val draining = DrainState.Draining(startedAtMs = 0, endsAtMs = 30_000)

    @TestFactory
    fun `a draining daemon is drained when no request is in flight or its time is over`() =
        listOf(
            Case("serving", DrainState.Serving, 0, 99_000, DrainState.Serving),
            Case("request in flight", draining, 1, 29_999, draining),
            Case("no request in flight, minimum time not reached", draining, 0, LEAVE_NOTICE_MS - 1, draining),
            Case("no request in flight", draining, 0, LEAVE_NOTICE_MS, DrainState.Drained),
            Case("time over", draining, 1, 30_000, DrainState.Drained),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) { expectThat(case.before.advance(case.inFlight, case.nowMs)).isEqualTo(case.after) }
        }
}
