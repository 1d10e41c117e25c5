package wigeonreel.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class SpreadBenchTest {
    @Test
    fun `a seed names its report, and a quiet fleet takes nobody for dead`() {
        for (lossPercent in listOf(0, 1)) {
            val report = SpreadBench(seed = 1, size = 25, lossPercent = lossPercent).measure()
            expectThat(SpreadBench(seed = 1, size = 25, lossPercent = lossPercent).measure()).isEqualTo(report)
            expectThat(report.falseDeaths).isEqualTo(0)
            // Target: a change is in force everywhere within seconds; the run would report 20 s for a daemon that never has it.
            expectThat(report.inForceAllMs).isLessThan(5_000)
        }
    }
}
