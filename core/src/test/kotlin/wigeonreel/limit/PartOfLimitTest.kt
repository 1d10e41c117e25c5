package wigeonreel.limit

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class PartOfLimitTest {
    @TestFactory
    fun `the large side of a cut fleet holds the limit, halves share it`() =
        listOf(1.0 to 1.0, 0.65 to 1.0, 0.5 to 0.5, 0.35 to 0.0875, 0.01 to 0.0025).map { (present, part) ->
            DynamicTest.dynamicTest("$present of the fleet") { expectThat(partOfLimit(present, settled = true)).isEqualTo(part) }
        }

    @Test
    fun `a side that has just become the large one holds its own part`() {
        expectThat(partOfLimit(0.65, settled = false)).isEqualTo(0.65)
    }

    /** Target: a tenth of a limit may be exceeded. */
    @Test
    fun `however a fleet is cut, all parts together hold at most a tenth more than the limit`() {
        val random = Random(1)
        repeat(20_000) {
            val cuts = List(random.nextInt(1, 6)) { random.nextDouble() }.sorted()
            val sides = (listOf(0.0) + cuts + 1.0).zipWithNext { from, to -> to - from }
            expectThat(sides.sumOf { partOfLimit(it, settled = true) }).isLessThanOrEqualTo(1.1 + 1e-9)
        }
    }
}
