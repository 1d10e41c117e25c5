package wigeonreel.admission

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import wigeonreel.config.Worth
import wigeonreel.outcome.Refusal

class AdmissionTest {
    private class Case(
        val name: String,
        val capacity: Double,
        val demands: List<StreamDemand>,
        val fractions: List<Double>,
    )

    private fun demand(worth: Worth, account: String, requests: Double, weight: Double = 1.0) =
        StreamDemand(Stream(worth, account), requests, weight)

    @TestFactory
    fun `capacity goes to the most important worth class first and to accounts by weight`() =
        listOf(
            Case("all demand fits", 100.0, listOf(demand(Worth.NORMAL, "a", 40.0), demand(Worth.NORMAL, "b", 60.0)), listOf(1.0, 1.0)),
            Case(
                "less important class exceeds the capacity",
                50.0,
                listOf(demand(Worth.CRITICAL, "a", 40.0), demand(Worth.NORMAL, "b", 20.0)),
                listOf(1.0, 0.5),
            ),
            Case("nothing left", 40.0, listOf(demand(Worth.CRITICAL, "a", 40.0), demand(Worth.NORMAL, "b", 20.0)), listOf(1.0, 0.0)),
            Case("heavy account", 40.0, listOf(demand(Worth.NORMAL, "a", 80.0), demand(Worth.NORMAL, "b", 10.0)), listOf(0.375, 1.0)),
            Case("weights", 40.0, listOf(demand(Worth.NORMAL, "a", 60.0, 3.0), demand(Worth.NORMAL, "b", 20.0, 1.0)), listOf(0.5, 0.5)),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val thresholds = planThresholds(case.demands, case.capacity)
                expectThat(
                    case.demands.map { thresholds.getValue(it.stream) },
                ).isEqualTo(case.fractions.map { AdmissionThreshold.admitting(it) })
            }
        }

    @Test
    fun `the rank of a request tree is deterministic and ordered by worth`() {
        expectThat(Rank.of(Worth.NORMAL, "root")).isEqualTo(Rank.of(Worth.NORMAL, "root"))
        expectThat(Rank.of(Worth.CRITICAL, "x")).isGreaterThan(Rank.of(Worth.IMPORTANT, "y"))
    }

    @Test
    fun `under overload critical requests are admitted and background requests are shed`() {
        val guard = Guard(slots = 40, startedAtMs = 0)
        val admitted = HashMap<Worth, Int>()
        val running = ArrayDeque<Long>()
        for (nowMs in 0L until 5_000L) {
            while (running.isNotEmpty() && running.first() <= nowMs) running.removeFirst().also { guard.onAnswer(20.0) }
            for (worth in listOf(Worth.BACKGROUND, Worth.CRITICAL, Worth.NORMAL, Worth.BACKGROUND)) {
                val request = GuardRequest(Rank.of(worth, "$nowMs$worth${running.size}"), "a", 1.0, 0, nowMs + 1_000)
                if (guard.decide(request, nowMs) is GuardDecision.Admit) {
                    running.addLast(nowMs + 20)
                    if (nowMs >= 2_000) admitted.merge(worth, 1, Int::plus)
                }
            }
        }
        expectThat(admitted[Worth.CRITICAL] ?: 0).isGreaterThan(2_700)
        expectThat(admitted[Worth.BACKGROUND] ?: 0).isLessThan(900)
    }

    @Test
    fun `a request past its deadline and one beyond the concurrency limit are refused`() {
        val guard = Guard(slots = 1, startedAtMs = 0)
        val request = GuardRequest(Rank.of(Worth.NORMAL, "r"), "a", 1.0, 0, 10)
        expectThat((guard.decide(request, 10) as GuardDecision.Refuse).refusal).isEqualTo(Refusal.DEADLINE_PASSED)
        guard.decide(request, 5)
        expectThat((guard.decide(request, 5) as GuardDecision.Refuse).refusal).isEqualTo(Refusal.OVERLOADED)
    }

    @Test
    fun `a stored threshold expires after 200 ms`() {
        val table = ThresholdTable()
        val stream = ServiceStream("s", Stream(Worth.NORMAL, "a"))
        table.learn(stream, AdmissionThreshold(Rank.POSITIONS), 0)
        expectThat(table.admits(stream, Rank(0), 199)).isEqualTo(false)
        expectThat(table.admits(stream, Rank(0), 200)).isEqualTo(true)
    }
}
