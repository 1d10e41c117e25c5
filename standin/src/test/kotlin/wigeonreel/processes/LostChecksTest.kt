package wigeonreel.processes

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class LostChecksTest {
    private val keyed = Route("keyed", "s", idempotent = true, open = false, timeoutMs = 5_000)
    private val open = keyed.copy(name = "open", open = true)

    /** Case whose attempts enter at VM `a` and run on VM `b`. */
    private class Case(
        val name: String,
        val expected: Set<String>,
        val attempts: List<Attempt>,
        val disruptions: List<Disruption> = emptyList(),
        val passedOn: Boolean = true,
        val runEndedAtMs: Long? = null,
        val spoiled: Boolean = false,
    )

    private val term = Disruption(DisruptionKind.TERM, "a", 10_000, 17_000)

    private fun attempt(
        sentAtMs: Long,
        endedAtMs: Long,
        end: AttemptEnd = AttemptEnd.CLOSED,
        route: Route = keyed,
        reused: Boolean = false,
        status: Int = 0,
        id: String = "x",
    ) = Attempt(id, "a", route, reused, sentAtMs, sentAtMs + 5_000, endedAtMs, end, status)

    private fun kept(count: Int, end: AttemptEnd) = List(count) { attempt(1_000, 1_500, end, reused = true, id = "x$it") }

    private val cases =
        listOf(
            Case("four requests of kept connections end early", setOf("lost-by-kept-connection"), kept(4, AttemptEnd.CLOSED)),
            Case("four requests of kept connections are reset", setOf("lost-by-kept-connection"), kept(4, AttemptEnd.RESET)),
            Case("three requests of kept connections end early", emptySet(), kept(3, AttemptEnd.CLOSED)),
            Case("requests of kept connections that were not passed on", emptySet(), kept(4, AttemptEnd.CLOSED), passedOn = false),
            Case("requests of kept connections whose server broke off", emptySet(), kept(4, AttemptEnd.CLOSED), spoiled = true),
            Case("a request is cut after SIGTERM", setOf("lost-after-term"), listOf(attempt(9_000, 11_000)), listOf(term)),
            Case(
                "a request is reset after SIGTERM",
                setOf("lost-after-term"),
                listOf(attempt(9_000, 11_000, AttemptEnd.RESET)),
                listOf(term),
            ),
            Case(
                "a silent connection is no early end",
                setOf("no-answer"),
                listOf(attempt(9_000, 14_500, AttemptEnd.SILENT)),
                listOf(term),
            ),
            Case(
                "half of the requests are answered at their time-out",
                emptySet(),
                listOf(attempt(9_000, 14_500, AttemptEnd.SILENT), attempt(9_000, 14_010, AttemptEnd.ANSWERED, status = 504, id = "y")),
            ),
            Case(
                "a frozen daemon is silent",
                emptySet(),
                listOf(attempt(9_000, 14_500, AttemptEnd.SILENT)),
                listOf(Disruption(DisruptionKind.FREEZE, "a", 7_000, 14_000)),
            ),
            Case(
                "a request that was read late and not passed on",
                setOf("lost-after-term"),
                listOf(attempt(11_000, 11_300)),
                listOf(term),
                passedOn = false,
            ),
            Case(
                "a request that crosses the close and is not passed on",
                emptySet(),
                listOf(attempt(11_000, 11_100)),
                listOf(term),
                passedOn = false,
            ),
            Case("a server needs the last sixth of the grace period", emptySet(), listOf(attempt(12_900, 15_700)), listOf(term)),
            Case(
                "a request that was accepted late needs the last sixth",
                setOf("lost-after-term"),
                listOf(attempt(13_100, 15_700)),
                listOf(term),
            ),
            Case(
                "a server that has answered does not need the last sixth",
                setOf("lost-after-term"),
                listOf(attempt(12_900, 15_700)),
                listOf(term),
                runEndedAtMs = 15_600,
            ),
            Case(
                "a response is on its way at the end of the grace period",
                emptySet(),
                listOf(attempt(12_900, 15_700)),
                listOf(term),
                runEndedAtMs = 15_695,
            ),
            Case(
                "unplanned trouble excuses a cut after SIGTERM",
                emptySet(),
                listOf(attempt(9_000, 11_000)),
                listOf(term, Disruption(DisruptionKind.FREEZE, "a", 7_000, 8_000)),
            ),
            Case(
                "trouble of the store excuses requests with a key",
                emptySet(),
                listOf(attempt(9_000, 11_000)),
                listOf(term, Disruption(DisruptionKind.STORE, null, 7_000, 8_000)),
            ),
            Case(
                "trouble of the store does not excuse requests without a key",
                setOf("lost-after-term"),
                listOf(attempt(9_000, 11_000, route = open)),
                listOf(term, Disruption(DisruptionKind.STORE, null, 7_000, 8_000)),
            ),
            Case(
                "a request is cut after SIGHUP",
                setOf("lost-after-hup"),
                listOf(attempt(11_500, 12_100)),
                listOf(Disruption(DisruptionKind.HUP, "a", 10_000, 10_010)),
            ),
            Case(
                "a request that was sent long after SIGHUP",
                emptySet(),
                listOf(attempt(12_500, 12_700)),
                listOf(Disruption(DisruptionKind.HUP, "a", 10_000, 10_010)),
            ),
            Case(
                "a request is cut during a change of the configuration",
                setOf("lost-during-change"),
                listOf(attempt(10_500, 11_100)),
                listOf(Disruption(DisruptionKind.CONFIG, null, 10_000, 10_010)),
            ),
            Case(
                "requests are cut as often at other times",
                emptySet(),
                listOf(attempt(10_500, 11_100), attempt(20_000, 20_500, id = "y")),
                listOf(Disruption(DisruptionKind.CONFIG, null, 10_000, 10_010)),
            ),
            Case(
                "a stopping daemon answers itself while the server is at work",
                setOf("replaced-after-term"),
                listOf(attempt(9_000, 11_000, AttemptEnd.ANSWERED, status = 502)),
                listOf(term),
            ),
            Case(
                "the grace period of the caller's daemon ends while the daemon of the server stops",
                emptySet(),
                listOf(attempt(12_000, 15_700, AttemptEnd.ANSWERED, status = 504)),
                listOf(term, term.copy(vm = "b", startMs = 14_000)),
            ),
            Case(
                "another VM, to which the request may have been sent, is killed",
                emptySet(),
                listOf(attempt(9_000, 11_000, AttemptEnd.ANSWERED, status = 502)),
                listOf(term, Disruption(DisruptionKind.KILL, "c", 10_500, 12_000)),
            ),
            Case(
                "the daemon of the server stops and its caller gets another answer",
                setOf("replaced-after-term"),
                listOf(attempt(9_000, 11_000, AttemptEnd.ANSWERED, status = 504)),
                listOf(term.copy(vm = "b")),
            ),
        )

    @TestFactory
    fun `each part of the promise not to lose accepted requests is checked`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val records = Records()
                records.attempts += case.attempts
                records.disruptions += case.disruptions
                for (attempt in case.attempts.filter { case.passedOn }) {
                    val run = Run(attempt.id, "b", attempt.sentAtMs, keySeen = false)
                    run.spoiled = case.spoiled
                    run.endedAtMs = case.runEndedAtMs
                    records.add(run)
                }
                expectThat(LostChecks(records).all().map { it.check }.toSet()).isEqualTo(case.expected)
            }
        }
}
