package wigeonreel.store

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StoreErasTest {
    private class Case(
        val name: String,
        val eras: List<Long>,
        val restores: Int,
    )

    @TestFactory
    fun `a restore of the store is noticed once`() =
        listOf(
            Case("first era", listOf(3), 0),
            Case("the same era again", listOf(3, 3, 3), 0),
            Case("the next era", listOf(3, 4, 4), 1),
            Case("the first era is 0", listOf(0, 1), 1),
            Case("two restores", listOf(1, 2, 3), 2),
            Case("an answer of an earlier era is late", listOf(1, 2, 1, 2), 1),
            Case("eras that were not seen", listOf(1, 7), 1),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                var restores = 0
                val eras = StoreEras().apply { onRestore { restores++ } }
                case.eras.forEach { eras.observe(it) }
                expectThat(restores).isEqualTo(case.restores)
                expectThat(eras.latest).isEqualTo(case.eras.max())
            }
        }

    @TestFactory
    fun `versions of different eras are compared`() =
        mapOf(
            (StoreVersion(5, 1) to StoreVersion(5, 1)) to true,
            (StoreVersion(5, 1) to StoreVersion(6, 1)) to false,
            (StoreVersion(5, 1) to StoreVersion(5, 2)) to false,
            (StoreVersion(5, null) to StoreVersion(5, null)) to false,
            (StoreVersion(5, StoreVersion.NO_ERA) to StoreVersion(5, StoreVersion.NO_ERA)) to true,
            (StoreVersion(5, StoreVersion.NO_ERA) to StoreVersion(5, 0)) to false,
        ).map { (versions, isSame) ->
            DynamicTest.dynamicTest("${versions.first} and ${versions.second}") {
                expectThat(versions.first.isSameAs(versions.second)).isEqualTo(isSame)
                expectThat(versions.second.isSameAs(versions.first)).isEqualTo(isSame)
            }
        }
}
