package wigeonreel.retry

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AttemptTimeoutTest {
    private class Case(
        val name: String,
        val serviceMs: Double?,
        val load: Double,
        val leftMs: Long,
        val timeoutMs: Long?,
    )

    @TestFactory
    fun `an attempt is given up while there is time for another one`() =
        listOf(
            Case("a short call", 50.0, 0.5, 700, 250),
            Case("unknown service time", null, 0.5, 700, null),
            Case("a full service, whose answers are late for another reason", 50.0, 1.2, 700, null),
            Case("no time for a second attempt", 200.0, 0.5, 700, null),
            Case("a long request with time left", 200.0, 0.5, 2_000, 700),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(attemptTimeoutMs(case.serviceMs, case.load, case.leftMs)).isEqualTo(case.timeoutMs)
            }
        }

    @Test
    fun `calls made for a retried request use up the retry budget of their service`() {
        val budget = ServiceRetryBudget(ratio = 0.1, burst = 1.0)
        expectThat(budget.tryRetry("deep")).isTrue()
        repeat(12) { budget.onFirstAttempt("deep") }
        budget.onInheritedRetry("deep")
        expectThat(budget.tryRetry("deep")).isFalse()
        repeat(12) { budget.onFirstAttempt("deep") }
        expectThat(budget.tryRetry("deep")).isTrue()
    }
}
