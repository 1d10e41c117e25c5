package wigeonreel.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class RepeatBudgetTest {
    /** A service that fails everything is asked a second time for a small share of the requests only. */
    @Test
    fun `repeats stay within the ratio and the reserve`() {
        val budget = RepeatBudget(ratio = 0.05, reserve = 1.0)
        var repeats = 0
        repeat(1_000) {
            budget.onFirst("s")
            if (budget.tryRepeat("s")) repeats++
        }
        expectThat(repeats).isLessThanOrEqualTo(51)
        expectThat(budget.tryRepeat("s") && budget.tryRepeat("s")).isEqualTo(false)
    }
}
