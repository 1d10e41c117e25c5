package wigeonreel.admission

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class EntryThrottleTest {
    private class Route(
        val name: String,
        val priority: Int,
        val slotMs: Double,
        val requestsPerSecond: Int,
    )

    private class Case(
        val name: String,
        val load: Double,
        val untouched: List<String>,
        val shed: List<String>,
    )

    private val routes =
        listOf(Route("lookup", 2, 440.0, 90), Route("order", 0, 220.0, 25), Route("charge", 2, 180.0, 10), Route("sheet", 2, 0.0, 10))

    /** Offers all routes for ten seconds under a constant load and returns the admitted share of each. */
    private fun admittedShares(load: Double): Map<String, Double> {
        val throttle = EntryThrottle()
        val admitted = HashMap<String, Int>()
        for (nowMs in 0L until DURATION_MS step 10) {
            throttle.onLoads(listOf(ServiceLoad("deep", load)), nowMs)
            for (route in routes) {
                if (nowMs * route.requestsPerSecond / 1_000 == (nowMs - 10) * route.requestsPerSecond / 1_000) continue
                if (!throttle.admits(route.name, route.priority, nowMs)) continue
                admitted.merge(route.name, 1, Int::plus)
                if (route.slotMs > 0.0) throttle.onServed(route.name, listOf(ServiceUse("deep", route.slotMs)))
            }
        }
        return routes.associate { it.name to admitted.getValue(it.name) * 1_000.0 / (it.requestsPerSecond * DURATION_MS) }
    }

    @TestFactory
    fun `the least urgent and costliest routes are shed first`() =
        listOf(
            Case("load below capacity", 0.8, listOf("lookup", "order", "charge", "sheet"), emptyList()),
            Case("load above capacity", 1.5, listOf("order", "charge", "sheet"), listOf("lookup")),
            Case("load far above capacity", 3.6, listOf("order", "sheet"), listOf("lookup", "charge")),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val shares = admittedShares(case.load)
                for (route in case.untouched) expectThat(shares.getValue(route)).describedAs(route).isGreaterThan(0.97)
                for (route in case.shed) expectThat(shares.getValue(route)).describedAs(route).isLessThan(0.75)
            }
        }

    @Test
    fun `no route is shed entirely, however high the load`() {
        for ((route, share) in admittedShares(50.0)) expectThat(share).describedAs(route).isGreaterThan(0.04)
    }

    @Test
    fun `the demand that remains meets the capacity`() {
        val shares = admittedShares(1.5)
        val demand = routes.sumOf { it.requestsPerSecond * it.slotMs }
        val remaining = routes.sumOf { it.requestsPerSecond * it.slotMs * shares.getValue(it.name) }
        expectThat(remaining / demand * 1.5).isGreaterThan(0.9).isLessThan(1.05)
    }

    @Test
    fun `an admitted request stands for those that were shed`() {
        val throttle = EntryThrottle()
        throttle.admits("lookup", 2, 0)
        expectThat(throttle.representedRequests("lookup")).isEqualTo(1.0)
        throttle.onServed("lookup", listOf(ServiceUse("deep", 440.0)))
        for (nowMs in 0L..500L step 10) {
            throttle.onLoads(listOf(ServiceLoad("deep", 1.9)), nowMs)
            throttle.admits("lookup", 2, nowMs)
        }
        expectThat(throttle.representedRequests("lookup")).isGreaterThan(1.9).isLessThan(2.1)
    }

    @Test
    fun `without replies for a second everything is admitted again`() {
        val throttle = EntryThrottle()
        throttle.admits("lookup", 2, 0)
        throttle.onServed("lookup", listOf(ServiceUse("deep", 440.0)))
        throttle.onLoads(listOf(ServiceLoad("deep", 5.0)), 0)
        expectThat((100L..900L step 10).count { throttle.admits("lookup", 2, it) }).isLessThan(30)
        expectThat((1_100L..1_900L step 10).count { throttle.admits("lookup", 2, it) }).isEqualTo(81)
    }

    private companion object {
        const val DURATION_MS = 10_000L
    }
}
