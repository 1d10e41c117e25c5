package wigeonreel.limit

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import wigeonreel.config.AccountConfig
import kotlin.random.Random

class RateStewardTest {
    private val account = AccountConfig("a", ratePerSecond = 100.0, burst = 100.0)
    private val accounts = mapOf("a" to account)

    private fun RateSteward.ask(daemon: String, demand: Double, nowMs: Long, held: Double = 0.0) =
        report(daemon, mapOf("a" to RateDemand(demand, held)), accounts, 4, nowMs).single().ratePerSecond

    private fun settled() =
        RateSteward().also { steward ->
            for (nowMs in 0L..GRANT_VALID_MS step 400) steward.ask("first", 0.0, nowMs)
        }

    @Test
    fun `a new steward grants nothing until the grants of an earlier one have expired`() {
        val steward = RateSteward()
        expectThat(steward.ask("d", 80.0, 0)).isEqualTo(0.0)
        expectThat(steward.ask("d", 80.0, 400, held = 30.0)).isEqualTo(30.0)
        for (nowMs in 800 until GRANT_VALID_MS step 400) steward.ask("d", 80.0, nowMs)
        expectThat(steward.ask("d", 80.0, GRANT_VALID_MS)).isGreaterThan(40.0)
    }

    @Test
    fun `callers of one account on one daemon get nearly the whole divided part`() {
        val steward = settled()
        expectThat(steward.ask("d", 90.0, GRANT_VALID_MS + 400)).isGreaterThan(45.0)
    }

    /** Demand jumps between daemons, which report with loss; admitted requests of any window stay within rate and burst. */
    @Test
    fun `what all daemons admit in any window stays within rate and burst`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val steward = RateSteward()
            val shares = List(4) { RateShare(account, 4, 0) }
            val admitted = ArrayDeque<Long>()
            val load = DoubleArray(4)
            for (nowMs in 0L..30_000L step 5) {
                if (nowMs % 2_000 == 0L) load.indices.forEach { load[it] = if (random.nextInt(3) == 0) 400.0 else 5.0 }
                shares.forEachIndexed { index, share ->
                    if (nowMs % 400 == index * 100L && random.nextInt(5) > 0) {
                        val demand = share.measure(nowMs)
                        share.grant(steward.ask("d$index", demand.perSecond, nowMs, demand.heldPerSecond), nowMs, nowMs)
                    }
                    if (random.nextDouble() < load[index] * 0.005 && share.admit(account, 4, nowMs)) admitted += nowMs
                }
                while (admitted.isNotEmpty() && admitted.first() <= nowMs - 5_000) admitted.removeFirst()
                expectThat(admitted.size).isLessThanOrEqualTo(600)
            }
        }
    }

    private fun ask(steward: RateSteward, daemon: String, share: RateShare, nowMs: Long) =
        share.measure(nowMs).let { steward.ask(daemon, it.perSecond, nowMs, it.heldPerSecond) }

    private fun refusedShare(demands: List<Double>): Double {
        val random = Random(7)
        val steward = settled()
        val shares = demands.map { RateShare(account, demands.size, 0) }
        var asked = 0
        var refused = 0
        for (nowMs in 3_200L..24_000L) {
            shares.forEachIndexed { index, share ->
                if (nowMs % 400 == index * 20L) share.grant(ask(steward, "d$index", share, nowMs), nowMs, nowMs)
                if (random.nextDouble() < demands[index] / 1_000) {
                    if (nowMs > 8_000) asked++
                    if (!share.admit(account, demands.size, nowMs) && nowMs > 8_000) refused++
                }
            }
        }
        return refused.toDouble() / asked
    }

    /** Three daemons of sixteen carry the account at six tenths of its rate; equal shares would refuse most of it. */
    @Test
    fun `few and uneven callers within their rate are hardly refused`() {
        val demands = List(16) { if (it < 3) 20.0 else 0.0 }
        expectThat(refusedShare(demands)).isLessThanOrEqualTo(0.01)
    }
}
