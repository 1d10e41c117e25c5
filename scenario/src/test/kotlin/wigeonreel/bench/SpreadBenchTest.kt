package wigeonreel.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class SpreadBenchTest {
    @Test
    fun `the same seed gives the same report, and no live daemon is declared dead`() {
        for (lossPercent in listOf(0, 1)) {
            val report = SpreadBench(seed = 1, size = 25, lossPercent = lossPercent).measure()
            expectThat(SpreadBench(seed = 1, size = 25, lossPercent = lossPercent).measure()).isEqualTo(report)
            expectThat(report.falseDeaths).isEqualTo(0)
            // Target: a change reaches every daemon within 5 s; the report shows 20 s for a daemon that it never reached.
            expectThat(report.inForceAllMs).isLessThan(5_000)
        }
    }
}
