package wigeonreel.replay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

class AccountReplayTest {
    /** Targets: 0.1% of what is within the limits may be refused without faults, 5% of it at worst load. */
    @TestFactory
    fun `accounts get what one bucket for the whole fleet would let in`() =
        mapOf(
            "accounts-calm" to 0.999,
            "accounts-hot" to 0.95,
            "accounts-surge" to 0.95,
            "accounts-hot-surge" to 0.95,
            "accounts-dead-surge" to 0.95,
            "accounts-hot-surge-small-fleet" to 0.95,
        ).map { (name, target) ->
            DynamicTest.dynamicTest(name) {
                val outcome = AccountReplay(AccountReplay.LOADS.first { it.name == name }, seed = 1).run()
                expectThat(outcome.earned.toDouble() / outcome.owed).isGreaterThanOrEqualTo(target)
            }
        }
}
