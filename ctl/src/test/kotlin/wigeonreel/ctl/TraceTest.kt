package wigeonreel.ctl

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class TraceTest {
    private fun trace(vararg lines: String) = traceRequest(lines.asSequence(), "a1")

    private class Case(
        val name: String,
        val lines: List<String>,
        val expectedText: String,
    )

    @TestFactory
    fun `the first refusal or failure of a request is the deciding event`() =
        listOf(
            Case(
                "account over its rate",
                listOf("""{"timeMs":5,"event":"refuse","id":"a1","reason":"over-rate"}"""),
                "decided by: refuse over-rate",
            ),
            Case(
                "answer of a non-idempotent request lost",
                listOf(
                    """{"timeMs":9,"event":"answer","id":"a1","outcome":"answer-lost"}""",
                    """{"timeMs":7,"event":"guard","id":"a1","outcome":"answer-truncated"}""",
                    """{"timeMs":5,"event":"place","id":"a1","decision":"to d1"}""",
                ),
                "decided by: guard answer-truncated",
            ),
            Case(
                "slow deep service",
                listOf(
                    """{"timeMs":5,"event":"guard","id":"a1","outcome":"overloaded","expectedWaitMs":400}""",
                    """{"timeMs":6,"event":"answer","id":"a1","outcome":"overloaded"}""",
                ),
                "decided by: guard overloaded",
            ),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) { expectThat(trace(*case.lines.toTypedArray()).toText()).contains(case.expectedText) }
        }

    @Test
    fun `lines of other requests and programs are ignored, and text before the JSON is skipped`() {
        val found =
            trace(
                "sidecar-a-1 {\"timeMs\":5,\"event\":\"answer\",\"id\":\"a1\",\"outcome\":\"status-2xx\"}",
                """{"timeMs":5,"event":"answer","id":"a2","outcome":"overloaded"}""",
                "no json { at all",
                "",
            )
        expectThat(found.events.size).isEqualTo(1)
        expectThat(found.decidingEvent).isNull()
    }
}
