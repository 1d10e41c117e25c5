package wigeonreel.routing

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.config.Harm
import wigeonreel.config.RouteConfig
import wigeonreel.config.RouteTable
import wigeonreel.config.RouteTarget

class RouteChoiceTest {
    private fun route(name: String, host: String, prefix: String, targets: List<RouteTarget> = listOf(RouteTarget("s"))) =
        RouteConfig(name, host, prefix, targets, Harm.IDEMPOTENT, 1_000, 500, 1, 2, open = true)

    private val table =
        RouteTable(listOf(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")))

    private data class Case(
        val host: String,
        val path: String,
        val expected: String?,
    )

    @TestFactory
    fun `the route with the longest matching prefix of the host is found`() =
        listOf(
            Case("a.example", "/x/1", "short"),
            Case("A.Example:8080", "/x/1", "short"),
            Case("a.example", "/x/y/1", "long"),
            Case("b.example", "/x/y/1", "other"),
            Case("a.example", "/x", null),
            Case("c.example", "/x/1", null),
        ).map { case ->
            DynamicTest.dynamicTest(case.toString()) { expectThat(table.find(case.host, case.path)?.name).isEqualTo(case.expected) }
        }

    @Test
    fun `each target gets its share within a few requests, and changed weights apply from the next request`() {
        val split = WeightedSplit()
        val before = route("r", "a", "/", listOf(RouteTarget("one", 90.0), RouteTarget("two", 10.0)))
        expectThat(List(20) { split.next(before) }.count { it == "two" }).isEqualTo(2)
        val after = before.copy(targets = listOf(RouteTarget("one", 1.0), RouteTarget("two", 3.0)))
        expectThat(List(8) { split.next(after) }.count { it == "two" }).isEqualTo(6)
    }
}
