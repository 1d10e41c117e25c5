package wigeonreel.limit

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import wigeonreel.config.AccountConfig

class FleetSizeTest {
    @Test
    fun `a fleet whose announcements were not read counts as large`() {
        expectThat(dividingDaemons(2, announcementsRead = false)).isEqualTo(UNKNOWN_FLEET)
        expectThat(dividingDaemons(16, announcementsRead = true)).isEqualTo(16)
        expectThat(dividingDaemons(0, announcementsRead = true)).isEqualTo(1)
    }

    /** Found by trouble-3 of gotusala: sixteen restarted daemons in views of two held eight whole limits. */
    @Test
    fun `daemons that meet in pairs after a restart hold together less than the limit`() {
        val account = AccountConfig("a", 100.0, 100.0)
        val pools = List(8) { TokenPool() }
        var handedOut = 0
        for (nowMs in 0L..1_000L step 100) {
            pools.forEach { pool ->
                for (daemon in listOf("x", "y")) {
                    handedOut += pool.ask(daemon, mapOf(account to 50), dividingDaemons(2, false), nowMs).single().tokens
                }
            }
        }
        expectThat(handedOut).isLessThanOrEqualTo(100)
    }
}
