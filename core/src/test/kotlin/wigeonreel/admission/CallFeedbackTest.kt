package wigeonreel.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class CallFeedbackTest {
    /**
     * Simulates request trees of four calls each, offered at 150% of the capacity of the deep service.
     *
     * The load follows gotusala's mix day 1030146373745. Returns the number of trees with all four calls answered, as a
     * share of the number that the capacity allows.
     */
    private fun replay(feedback: CallFeedback?): Double {
        val random = Random(3)
        var completed = 0
        val capacityPerMs = 2.0
        var available = 0.0
        val offeredPerMs = capacityPerMs / CALLS * 1.5
        for (nowMs in 0L..20_000L) {
            available = (available + capacityPerMs).coerceAtMost(20.0)
            if (random.nextDouble() >= offeredPerMs) continue
            if (feedback != null && !feedback.admits(false, nowMs)) continue
            val served =
                (1..CALLS).count {
                    val fits = available >= 1.0
                    if (fits) available -= 1.0
                    feedback?.onCall(!fits, nowMs)
                    fits
                }
            if (served == CALLS) completed++
        }
        return completed / (20_000 * capacityPerMs / CALLS)
    }

    @Test
    fun `refusing whole requests completes more request trees than letting their calls fail`() {
        expectThat(replay(CallFeedback())).isGreaterThan(0.85)
        expectThat(replay(null)).isLessThan(replay(CallFeedback()) - 0.1)
    }

    @Test
    fun `arrivals are throttled after refused calls, and all are admitted again once calls succeed`() {
        val feedback = CallFeedback()
        for (nowMs in 0L..2_000L step 10) feedback.onCall(overloaded = nowMs < 1_000, nowMs)
        expectThat((2_000L..3_000L step 10).count { feedback.admits(false, it) }).isLessThan(90)
        expectThat((3_000L..9_000L step 10).count { feedback.admits(false, it) }).isGreaterThan(480)
        expectThat((9_000L..10_000L step 10).all { feedback.admits(false, it) }).isEqualTo(true)
    }

    @Test
    fun `a server that makes only a few calls per second is throttled too`() {
        val feedback = CallFeedback()
        for (nowMs in 0L..6_000L step 250) feedback.onCall(overloaded = true, nowMs)
        expectThat((6_000L..7_000L step 10).count { feedback.admits(false, it) }).isLessThan(50)
    }

    private companion object {
        const val CALLS = 4
    }
}
