package wigeonreel.admission

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class CallAttributionTest {
    private class Case(
        val name: String,
        val callDeadlineMs: Long,
        val caller: String,
    )

    /** Two requests of which the second started later; both are running at the time of the call. */
    private fun attribution() =
        CallAttribution<String>().apply {
            onStarted("first", deadlineMs = 1_200, representedRequests = 1.0, isRetry = false, nowMs = 0)
            onStarted("second", deadlineMs = 1_500, representedRequests = 1.0, isRetry = false, nowMs = 100)
        }

    private fun usesOf(request: String, callDeadlineMs: Long): List<ServiceUse> {
        val attribution = attribution()
        val caller = attribution.callerOf(callDeadlineMs)
        if (caller != null) attribution.onCallFinished(caller, listOf(ServiceUse("deep", 50.0)), 150)
        return attribution.onEnded(request)
    }

    @TestFactory
    fun `a call is attributed by its deadline, then to the request with the latest event`() =
        listOf(
            Case("same deadline as the first", 1_201, "first"),
            Case("same deadline as the second", 1_499, "second"),
            Case("a shorter deadline of its own", 700, "second"),
            Case("a deadline that only the second allows", 1_300, "second"),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(usesOf(case.caller, case.callDeadlineMs)).isEqualTo(listOf(ServiceUse("deep", 50.0)))
                expectThat(usesOf(if (case.caller == "first") "second" else "first", case.callDeadlineMs)).isEmpty()
            }
        }

    @Test
    fun `a request whose call has just ended makes the next one`() {
        val attribution = attribution()
        attribution.onCallFinished(attribution.callerOf(1_200)!!, listOf(ServiceUse("deep", 50.0)), 200)
        attribution.onCallFinished(attribution.callerOf(700)!!, listOf(ServiceUse("deep", 30.0), ServiceUse("store", 5.0)), 300)
        expectThat(attribution.onEnded("first")).isEqualTo(listOf(ServiceUse("deep", 80.0), ServiceUse("store", 5.0)))
    }

    @Test
    fun `a call that outlives all running requests has no caller`() {
        expectThat(attribution().callerOf(5_000)).isNull()
    }

    /**
     * Simulates requests of two routes on one server, one with four calls in turn and one with none.
     *
     * Returns the mean slot time that is attributed to a request of each route.
     */
    private fun meanUse(): Map<String, Double> {
        val attribution = CallAttribution<String>()
        val total = HashMap<String, Double>()
        val started = HashMap<String, Int>()
        val events = java.util.TreeMap<Long, MutableList<() -> Unit>>()

        fun at(atMs: Long, action: () -> Unit) = events.getOrPut(atMs) { mutableListOf() }.add(action)

        fun end(id: String) = attribution.onEnded(id).sumOf { it.slotMs }.let { total.merge(id.substringBefore('-'), it, Double::plus) }

        fun call(id: String, callsLeft: Int, nowMs: Long) {
            if (callsLeft == 0) return at(nowMs + 3) { end(id) }.let { }
            val caller = attribution.callerOf(nowMs + 700)!!
            at(nowMs + 40 + id.hashCode().mod(37)) {
                val endMs = nowMs + 40 + id.hashCode().mod(37)
                attribution.onCallFinished(caller, listOf(ServiceUse("deep", 55.0)), endMs)
                at(endMs) { call(id, callsLeft - 1, endMs) }
            }
        }
        for (n in 0 until 2_000) {
            val startMs = n * 20L
            val route = if (n % 5 == 0) "sheet" else "index"
            at(startMs) {
                val id = "$route-$n"
                started.merge(route, 1, Int::plus)
                attribution.onStarted(id, startMs + 2_000, 1.0, false, startMs)
                if (route == "sheet") at(startMs + 180) { end(id) } else call(id, 4, startMs)
            }
        }
        while (events.isNotEmpty()) {
            events.firstEntry().let { (atMs, actions) ->
                if (actions.isEmpty()) events.remove(atMs) else actions.removeFirst()()
            }
        }
        return started.mapValues { total.getValue(it.key) / it.value }
    }

    /** Target: the cost of a route within a fifth, so that routes are shed in the right order. */
    @Test
    fun `the calls of many overlapping requests are attributed to the route that makes them`() {
        val means = meanUse()
        expectThat(means.getValue("index")).isIn(176.0..264.0)
        expectThat(means.getValue("sheet")).isIn(0.0..44.0)
    }

    private fun strikt.api.Assertion.Builder<Double>.isIn(range: ClosedFloatingPointRange<Double>) =
        assert("is in $range") { if (it in range) pass() else fail(it) }
}
