package wigeonreel.drain

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ShutdownStageTest {
    private class Case(
        val name: String,
        val sinceMs: Long,
        val open: Int,
        val expected: ShutdownStage,
        val graceMs: Long = 6_000,
    )

    @TestFactory
    fun `callers are notified first, then peers, and the shutdown ends when no request is open or the grace period is over`() =
        listOf(
            Case("shutdown requested", 0, 0, ShutdownStage.CALLERS_NOTIFIED),
            Case("callers notified", 1_400, 5, ShutdownStage.CALLERS_NOTIFIED),
            Case("peers notified", 1_600, 5, ShutdownStage.PEERS_NOTIFIED),
            Case("no open request, minimum duration not reached", 2_400, 0, ShutdownStage.PEERS_NOTIFIED),
            Case("no open request", 2_600, 0, ShutdownStage.DONE),
            Case("open request", 5_000, 1, ShutdownStage.PEERS_NOTIFIED),
            Case("end of the grace period", 5_800, 1, ShutdownStage.DONE),
            Case("short grace period", 500, 1, ShutdownStage.PEERS_NOTIFIED, graceMs = 1_000),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) { expectThat(shutdownStage(case.sinceMs, case.open, case.graceMs)).isEqualTo(case.expected) }
        }

    private class Arrival(
        val name: String,
        val sinceMs: Long,
        val timeoutMs: Long,
        val expected: Boolean,
        val graceMs: Long = 6_000,
    )

    @TestFactory
    fun `requests that may outlast the process are accepted in the first half of the grace period only`() =
        listOf(
            Arrival("shutdown requested", 0, 60_000, expected = true),
            Arrival("first half of the grace period", 3_000, 60_000, expected = true),
            Arrival("second half, the request may outlast the process", 3_100, 5_000, expected = false),
            Arrival("second half, the request ends before the process", 3_100, 2_000, expected = true),
            Arrival("just before the end", 5_600, 700, expected = false),
            Arrival("long grace period, the server may still be at work at its end", 4_000, 12_000, expected = false, graceMs = 10_000),
            Arrival("short grace period", 600, 1_000, expected = false, graceMs = 1_000),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(acceptsWhileStopping(case.sinceMs, case.timeoutMs, case.graceMs)).isEqualTo(case.expected)
            }
        }
}
