package wigeonreel.replay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

class MeshReplayTest {
    /** Target: 95% of what the demand is worth while it exceeds what the nearest servers can take, but not the fleet. */
    @TestFactory
    fun `a fleet with room serves what is asked of it, however the room is spread`() =
        listOf("calm", "surge", "retry-storm", "deep-lost", "deep-slow", "front-slow").flatMap { name ->
            (1L..2L).map { seed ->
                DynamicTest.dynamicTest("$name, seed $seed") {
                    val measures = MeshReplay(LoadShapes.all.first { it.name == name }, seed).run()
                    expectThat(measures.earned).isGreaterThanOrEqualTo(0.95)
                }
            }
        }
}
