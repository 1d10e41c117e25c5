package wigeonreel.drain

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

class ShutdownScheduleTest {
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
            Case("short grace period, before its last sixth", 1_660, 1, ShutdownStage.PEERS_NOTIFIED, graceMs = 2_000),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(ShutdownSchedule(case.graceMs).stage(case.sinceMs, case.open)).isEqualTo(case.expected)
            }
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
            Arrival("first half of the grace period", 2_500, 60_000, expected = true),
            Arrival(
                "half a second before the last moment, as the request to stop may have been noticed late",
                2_600,
                5_000,
                expected = false,
            ),
            Arrival("second half, the request may outlast the process", 3_100, 5_000, expected = false),
            Arrival("second half, the request ends before the process", 3_100, 2_000, expected = true),
            Arrival("just before the end", 5_600, 700, expected = false),
            Arrival("long grace period, the server may still be at work at its end", 4_000, 12_000, expected = false, graceMs = 10_000),
            Arrival("short grace period", 600, 1_000, expected = false, graceMs = 1_000),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(ShutdownSchedule(case.graceMs).accepts(case.sinceMs, case.timeoutMs)).isEqualTo(case.expected)
            }
        }

    /** With a grace period of 2 s, requests were answered 504 at 1.64 s while their servers were at work. */
    @TestFactory
    fun `a request is ended before the last sixth of a short grace period`() =
        listOf(0L, 1L, 100L, 500L, 1_000L, 2_000L, 3_000L, 4_000L, 6_000L, 10_000L, 60_000L, 3_600_000L).map { graceMs ->
            DynamicTest.dynamicTest("grace period of $graceMs ms") {
                val schedule = ShutdownSchedule(graceMs)
                expectThat(schedule.requestsEndAtMs).isGreaterThanOrEqualTo(graceMs * 5 / 6)
                expectThat(schedule.responsesEndAtMs).isLessThanOrEqualTo(graceMs)
                expectThat(schedule.acceptsAnyUntilMs).isLessThanOrEqualTo(schedule.requestsEndAtMs)
                expectThat(schedule.peersServedUntilMs).isLessThanOrEqualTo(schedule.acceptsAnyUntilMs)
                expectThat(schedule.stage(schedule.requestsEndAtMs, open = 1)).isEqualTo(ShutdownStage.DONE)
            }
        }
}
