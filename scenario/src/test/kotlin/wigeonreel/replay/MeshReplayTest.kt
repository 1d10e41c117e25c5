package wigeonreel.replay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

class MeshReplayTest {
    private fun run(name: String, seed: Long) = MeshReplay(shape(name), seed).run()

    private fun shape(name: String) = LoadShapes.all.first { it.name == name }

    /** Target: 95% of the offered worth while demand exceeds the capacity of the nearest servers but not the capacity of the fleet. */
    @TestFactory
    fun `a fleet with spare capacity serves its demand, however the capacity is distributed`() =
        listOf("calm", "surge", "retry-storm", "deep-lost", "deep-slow", "front-slow", "fan-out").flatMap { name ->
            (1L..2L).map { seed ->
                DynamicTest.dynamicTest("$name, seed $seed") {
                    val measures = run(name, seed)
                    expectThat(measures.earnedShare).isGreaterThanOrEqualTo(0.95)
                }
            }
        }

    /** Target: 90% of the worth that the capacity allows while demand exceeds it. */
    @TestFactory
    fun `a fleet without enough capacity sheds what earns least for the capacity that it needs`() =
        listOf("fan-out-surge", "fan-out-lost").flatMap { name ->
            (1L..2L).map { seed ->
                DynamicTest.dynamicTest("$name, seed $seed") {
                    expectThat(run(name, seed).earnedShare).isGreaterThanOrEqualTo(WorthBound(shape(name)).earnedShare() * 0.9)
                }
            }
        }

    /** Target: 99% of the most important requests while their own demand fits; the others may fall to no less than a quarter of all. */
    @TestFactory
    fun `an overloaded service at the end of the call graph serves the most important requests and starves no kind`() =
        listOf("fan-out-surge", "fan-out-lost").flatMap { name ->
            (1L..2L).map { seed ->
                DynamicTest.dynamicTest("$name, seed $seed") {
                    val measures = run(name, seed)
                    expectThat(measures.servedShare("order")).isGreaterThanOrEqualTo(0.99)
                    for (kind in listOf("lookup", "sheet", "charge")) {
                        expectThat(measures.servedShare(kind)).describedAs(kind).isGreaterThanOrEqualTo(0.25)
                    }
                }
            }
        }
}
