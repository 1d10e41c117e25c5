package wigeonreel.replay

import wigeonreel.config.AccountConfig
import wigeonreel.limit.TakeResult
import wigeonreel.limit.TokenBucket
import wigeonreel.limit.TokenPool
import wigeonreel.limit.TokenStock
import wigeonreel.soak.EventQueue
import kotlin.math.ln

/**
 * Demand of client accounts and the fleet that enforces their rate limits.
 *
 * @param daemonCount number of daemons in the fleet.
 * @param accountCount number of client accounts; the base rate of an account decreases with its number.
 * @param requestsPerSecond base demand of all accounts together.
 * @param limitFactor rate limit of each account as a multiple of its base rate.
 * @param surge factor applied to the demand of all accounts.
 * @param hotFactor factor applied to the demand of the third account within [hotSpan].
 * @param deadShare share of the daemons that are dead within [deadSpan].
 */
internal data class AccountLoad(
    val name: String,
    val daemonCount: Int = 95,
    val accountCount: Int = 90,
    val requestsPerSecond: Double = 300.0,
    val limitFactor: Double = 1.6,
    val surge: Double = 1.0,
    val hotFactor: Double = 1.0,
    val hotSpan: Span = Span(5_000, 12_000),
    val deadShare: Double = 0.0,
    val deadSpan: Span = Span(14_000, 18_000),
    val durationMs: Long = 22_000,
)

/** Requests admitted in a replay, compared with one ideal token bucket per account for the whole fleet. */
internal class AccountOutcome(
    val name: String,
) {
    /** Requests that the ideal bucket admits. */
    var expected = 0

    /** Requests that the daemons admit. */
    var admitted = 0

    /** Requests that the daemons admit, capped at what the ideal bucket admits in each time window of an account. */
    var admittedOfExpected = 0

    override fun toString() =
        "$name: owed $expected, let in $admitted, of those owed ${"%.1f%%".format(admittedOfExpected * PERCENT / expected)}"

    private companion object {
        const val PERCENT = 100.0
    }
}

/** Replays account demand against the production token pools and stocks in virtual time, next to one ideal bucket per account. */
internal class AccountReplay(
    private val load: AccountLoad,
    seed: Long,
) {
    private class Daemon(
        val id: String,
        val delayMs: Long,
        val stocks: HashMap<String, TokenStock> = HashMap(),
    )

    private class Window {
        var expected = 0
        var admitted = 0
    }

    private val queue = EventQueue(seed)
    private val startMs = queue.nowMs
    private val pool = TokenPool()
    private val daemons = List(load.daemonCount) { Daemon("d$it", if (it % 2 == 0) 1L else 8L) }
    private val weights = List(load.accountCount) { 1.0 / (it + 2) }
    private val accounts = weights.mapIndexed { number, weight -> accountConfigOf(number, weight / weights.sum()) }
    private val idealBuckets =
        accounts.associate {
            it.name to
                TokenBucket(
                    it.ratePerSecond,
                    it.burst,
                    startMs,
                ).apply { putBack(it.burst.toInt()) }
        }
    private val windows = HashMap<Pair<String, Long>, Window>()

    fun run(): AccountOutcome {
        daemons.forEachIndexed { index, daemon -> queue.after(index * REFILL_INTERVAL_MS / load.daemonCount) { refillStocks(daemon) } }
        queue.run(WARM_UP_MS)
        accounts.indices.forEach { scheduleArrivals(it) }
        queue.run(load.durationMs)
        return AccountOutcome(load.name).also { outcome ->
            windows.values.forEach {
                outcome.expected += it.expected
                outcome.admitted += it.admitted
                outcome.admittedOfExpected += minOf(it.expected, it.admitted)
            }
        }
    }

    private fun accountConfigOf(number: Int, share: Double): AccountConfig {
        val rate = load.requestsPerSecond * share * load.limitFactor
        return AccountConfig("a$number", rate, rate * BURST_S)
    }

    private fun sinceWarmUpMs() = queue.nowMs - startMs - WARM_UP_MS

    private fun isDead(daemon: Daemon) = sinceWarmUpMs() in load.deadSpan && daemon.id.drop(1).toInt() < load.daemonCount * load.deadShare

    private fun scheduleArrivals(number: Int) {
        val hot = number == HOT_ACCOUNT && sinceWarmUpMs() in load.hotSpan
        val perMs = accounts[number].ratePerSecond / load.limitFactor * load.surge * (if (hot) load.hotFactor else 1.0) / MS_PER_SECOND
        val intervalMs = -ln(1.0 - queue.random.nextDouble()) / perMs
        queue.after(intervalMs.toLong().coerceAtLeast(0)) {
            if (sinceWarmUpMs() < load.durationMs) {
                arrive(accounts[number])
                scheduleArrivals(number)
            }
        }
    }

    private fun arrive(account: AccountConfig) {
        val daemon = generateSequence { daemons.random(queue.random) }.first { !isDead(it) }
        val bucket = idealBuckets.getValue(account.name)
        bucket.refill(queue.nowMs, 0.0)
        val window = windows.getOrPut(account.name to sinceWarmUpMs() / WINDOW_MS) { Window() }
        if (bucket.take(1) == 1) window.expected++
        val stock = daemon.stocks.getOrPut(account.name) { TokenStock(queue.nowMs) }
        when (stock.take(queue.nowMs)) {
            TakeResult.TAKEN -> window.admitted++
            TakeResult.REFUSED -> Unit
            TakeResult.ASK_POOL ->
                requestTokens(daemon, mapOf(account to 1)) { if (stock.take(queue.nowMs) == TakeResult.TAKEN) window.admitted++ }
        }
    }

    /** Requests the tokens that the stocks of [daemon] need, every [REFILL_INTERVAL_MS]. */
    private fun refillStocks(daemon: Daemon) {
        if (!isDead(daemon)) {
            val tokensByAccount = accounts.associateWith { daemon.stocks[it.name]?.closeInterval(queue.nowMs) ?: 0 }.filterValues { it > 0 }
            requestTokens(daemon, tokensByAccount) { }
        }
        queue.after(REFILL_INTERVAL_MS) { refillStocks(daemon) }
    }

    private fun requestTokens(daemon: Daemon, tokensByAccount: Map<AccountConfig, Int>, onGrants: () -> Unit) {
        queue.after(daemon.delayMs) {
            val grants = pool.take(daemon.id, tokensByAccount, load.daemonCount, queue.nowMs)
            queue.after(daemon.delayMs) {
                grants.forEach { daemon.stocks.getValue(it.account).onGrant(it, queue.nowMs) }
                onGrants()
            }
        }
    }

    companion object {
        val LOADS =
            listOf(
                AccountLoad("accounts-calm"),
                AccountLoad("accounts-surge", surge = 1.6),
                AccountLoad("accounts-hot", hotFactor = 10.0),
                AccountLoad("accounts-hot-surge", surge = 1.6, hotFactor = 10.0),
                AccountLoad("accounts-dead-surge", surge = 1.6, deadShare = 0.35),
                AccountLoad("accounts-hot-surge-small-fleet", daemonCount = 37, requestsPerSecond = 200.0, surge = 1.6, hotFactor = 10.0),
            )
        private const val REFILL_INTERVAL_MS = 500L
        private const val WARM_UP_MS = 5_000L
        private const val WINDOW_MS = 2_000L

        /** Number of the account that sends more within [AccountLoad.hotSpan]. */
        private const val HOT_ACCOUNT = 2

        /** Burst of an account, in seconds at its rate limit. */
        private const val BURST_S = 1.0
        private const val MS_PER_SECOND = 1_000.0
    }
}
