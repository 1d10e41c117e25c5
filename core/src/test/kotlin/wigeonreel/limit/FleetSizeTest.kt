package wigeonreel.limit

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import wigeonreel.config.AccountConfig

class FleetSizeTest {
    @Test
    fun `the assumed fleet size is used until the announcements have been read`() {
        expectThat(fleetSizeForLimits(2, announcementsRead = false)).isEqualTo(ASSUMED_FLEET_SIZE)
        expectThat(fleetSizeForLimits(16, announcementsRead = true)).isEqualTo(16)
        expectThat(fleetSizeForLimits(0, announcementsRead = true)).isEqualTo(1)
    }

    /** Regression (gotusala, trouble-3): sixteen restarted daemons, in pairs with a view of two each, granted eight times the limit. */
    @Test
    fun `daemons that discover each other in pairs after a restart grant at most the limit together`() {
        val account = AccountConfig("a", 100.0, 100.0)
        val pools = List(8) { TokenPool() }
        var granted = 0
        for (nowMs in 0L..1_000L step 100) {
            pools.forEach { pool ->
                for (daemon in listOf("x", "y")) {
                    granted += pool.take(daemon, mapOf(account to 50), fleetSizeForLimits(2, false), nowMs).single().tokens
                }
            }
        }
        expectThat(granted).isLessThanOrEqualTo(100)
    }
}
