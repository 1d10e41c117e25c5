package wigeonreel.replay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

class MeshReplayTest {
    /** Target: 95% of the offered worth while demand exceeds the capacity of the nearest servers but not the capacity of the fleet. */
    @TestFactory
    fun `a fleet with spare capacity serves its demand, however the capacity is distributed`() =
        listOf("calm", "surge", "retry-storm", "deep-lost", "deep-slow", "front-slow").flatMap { name ->
            (1L..2L).map { seed ->
                DynamicTest.dynamicTest("$name, seed $seed") {
                    val measures = MeshReplay(LoadShapes.all.first { it.name == name }, seed).run()
                    expectThat(measures.earnedShare).isGreaterThanOrEqualTo(0.95)
                }
            }
        }
}
