package wigeonreel.admission

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class OfferedLoadTest {
    private class Case(
        val name: String,
        val arrivalsPer100Ms: Int,
        val represented: Double,
        val expected: Double,
    )

    @TestFactory
    fun `the load counts arrivals and those that they stand for`() =
        listOf(
            Case("half of the slots", 10, 1.0, 0.5),
            Case("twice the slots", 40, 1.0, 2.0),
            Case("half of the demand was shed at the entry points", 20, 2.0, 2.0),
            Case("counted at another guard", 20, 0.0, 0.0),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val load = OfferedLoad()
                for (nowMs in 0L..5_000L step 100) {
                    load.update(limit = 10, nowMs)
                    repeat(case.arrivalsPer100Ms) { load.onArrival(case.represented, 50.0) }
                }
                expectThat(load.ratio).isGreaterThan(case.expected - 0.05).isLessThan(case.expected + 0.05)
            }
        }
}
