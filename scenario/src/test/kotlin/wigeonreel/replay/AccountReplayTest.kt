package wigeonreel.replay

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

class AccountReplayTest {
    /** Targets: of the requests within the limits, at most 0.1% are refused without faults and at most 5% at maximum load. */
    @TestFactory
    fun `the fleet admits the requests that one token bucket per account would admit`() =
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
                expectThat(outcome.admittedOfExpected.toDouble() / outcome.expected).isGreaterThanOrEqualTo(target)
            }
        }
}
