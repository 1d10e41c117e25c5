package wigeonreel.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class ServiceRetryBudgetTest {
    /** Guards against a retry storm at a service that fails every request. */
    @Test
    fun `retries stay within the ratio and the burst`() {
        val budget = ServiceRetryBudget(ratio = 0.05, burst = 1.0)
        var retries = 0
        repeat(1_000) {
            budget.onFirstAttempt("s")
            if (budget.tryRetry("s")) retries++
        }
        expectThat(retries).isLessThanOrEqualTo(51)
        expectThat(budget.tryRetry("s") && budget.tryRetry("s")).isEqualTo(false)
    }
}
