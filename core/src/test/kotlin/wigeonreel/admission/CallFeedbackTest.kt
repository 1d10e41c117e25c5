package wigeonreel.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class CallFeedbackTest {
    /**
     * Trees of four calls each at 150% of what the deep service takes, as on gotusala's mix day 1030146373745.
     *
     * Returns the share of the possible whole trees that are answered whole.
     */
    private fun replay(feedback: CallFeedback?): Double {
        val random = Random(3)
        var whole = 0
        val capacityPerMs = 2.0
        var room = 0.0
        val offeredPerMs = capacityPerMs / CALLS * 1.5
        for (nowMs in 0L..20_000L) {
            room = (room + capacityPerMs).coerceAtMost(20.0)
            if (random.nextDouble() >= offeredPerMs) continue
            if (feedback != null && !feedback.admits(false, nowMs)) continue
            val served =
                (1..CALLS).count {
                    val fits = room >= 1.0
                    if (fits) room -= 1.0
                    feedback?.onCall(!fits, nowMs)
                    fits
                }
            if (served == CALLS) whole++
        }
        return whole / (20_000 * capacityPerMs / CALLS)
    }

    @Test
    fun `whole requests are turned away before calls of all of them fail`() {
        expectThat(replay(CallFeedback())).isGreaterThan(0.85)
        expectThat(replay(null)).isLessThan(replay(CallFeedback()) - 0.1)
    }

    @Test
    fun `nothing is turned away while calls find room, and all is let in again soon after`() {
        val feedback = CallFeedback()
        for (nowMs in 0L..2_000L step 10) feedback.onCall(refusedForRoom = nowMs < 1_000, nowMs)
        expectThat((2_000L..3_000L step 10).count { feedback.admits(false, it) }).isLessThan(90)
        expectThat((3_000L..9_000L step 10).count { feedback.admits(false, it) }).isGreaterThan(480)
        expectThat((9_000L..10_000L step 10).all { feedback.admits(false, it) }).isEqualTo(true)
    }

    @Test
    fun `a server of a large fleet that makes a few calls in a second learns from them too`() {
        val feedback = CallFeedback()
        for (nowMs in 0L..6_000L step 250) feedback.onCall(refusedForRoom = true, nowMs)
        expectThat((6_000L..7_000L step 10).count { feedback.admits(false, it) }).isLessThan(50)
    }

    private companion object {
        const val CALLS = 4
    }
}
