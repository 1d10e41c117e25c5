package wigeonreel.limit

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class LimitShareTest {
    @TestFactory
    fun `a majority gets the whole limit, halves share it and a minority gets a quarter of its share`() =
        listOf(1.0 to 1.0, 0.65 to 1.0, 0.5 to 0.5, 0.35 to 0.0875, 0.01 to 0.0025).map { (present, share) ->
            DynamicTest.dynamicTest("$present of the fleet") { expectThat(limitShare(present, settled = true)).isEqualTo(share) }
        }

    @Test
    fun `a majority that is not settled yet gets its own share of the limit`() {
        expectThat(limitShare(0.65, settled = false)).isEqualTo(0.65)
    }

    /** A limit may be exceeded by at most a tenth. */
    @Test
    fun `under any partition of the fleet all shares sum to at most a tenth more than the limit`() {
        val random = Random(1)
        repeat(20_000) {
            val boundaries = List(random.nextInt(1, 6)) { random.nextDouble() }.sorted()
            val sides = (listOf(0.0) + boundaries + 1.0).zipWithNext { from, to -> to - from }
            expectThat(sides.sumOf { limitShare(it, settled = true) }).isLessThanOrEqualTo(1.1 + 1e-9)
        }
    }
}
