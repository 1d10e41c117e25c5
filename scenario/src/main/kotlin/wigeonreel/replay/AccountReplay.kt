package wigeonreel.replay

import wigeonreel.config.AccountConfig
import wigeonreel.limit.TakeResult
import wigeonreel.limit.TokenBucket
import wigeonreel.limit.TokenPool
import wigeonreel.limit.TokenStock
import wigeonreel.soak.EventQueue
import kotlin.math.ln

/**
 * Load of client accounts on the limits of a fleet.
 *
 * @param daemons daemons of the fleet.
 * @param accounts client accounts; the usual rate of each falls with its number.
 * @param hotFactor factor of the demand of the third account within [hotSpan].
 * @param surge factor of the demand of all accounts.
 * @param deadShare share of the daemons that are dead within [deadSpan].
 */
internal data class AccountLoad(
    val name: String,
    val daemons: Int = 95,
    val accounts: Int = 90,
    val perSecond: Double = 300.0,
    val limitFactor: Double = 1.6,
    val surge: Double = 1.0,
    val hotFactor: Double = 1.0,
    val hotSpan: Span = Span(5_000, 12_000),
    val deadShare: Double = 0.0,
    val deadSpan: Span = Span(14_000, 18_000),
    val lengthMs: Long = 22_000,
)

/** What the accounts of a replay got against what one bucket for the whole fleet would have let in. */
internal class AccountOutcome(
    val name: String,
) {
    /** Requests that the bucket lets in. */
    var owed = 0

    /** Requests that the daemons let in. */
    var admitted = 0

    /** Requests that the daemons let in, counted no further than the bucket in each window of an account. */
    var earned = 0

    override fun toString() = "$name: owed $owed, let in $admitted, of those owed ${"%.1f%%".format(earned * PERCENT / owed)}"

    private companion object {
        const val PERCENT = 100.0
    }
}

/** Plays accounts against the real pools and stocks on virtual time, beside one ideal bucket for each account. */
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
        var owed = 0
        var admitted = 0
    }

    private val queue = EventQueue(seed)
    private val startMs = queue.nowMs
    private val pool = TokenPool()
    private val fleet = List(load.daemons) { Daemon("d$it", if (it % 2 == 0) 1L else 8L) }
    private val weights = List(load.accounts) { 1.0 / (it + 2) }
    private val accounts = weights.mapIndexed { number, weight -> accountOf(number, weight / weights.sum()) }
    private val ideal =
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
        fleet.forEachIndexed { index, daemon -> queue.after(index * REPORT_MS / load.daemons) { report(daemon) } }
        queue.run(WARM_UP_MS)
        accounts.indices.forEach { arrivals(it) }
        queue.run(load.lengthMs)
        return AccountOutcome(load.name).also { outcome ->
            windows.values.forEach {
                outcome.owed += it.owed
                outcome.admitted += it.admitted
                outcome.earned += minOf(it.owed, it.admitted)
            }
        }
    }

    private fun accountOf(number: Int, part: Double): AccountConfig {
        val rate = load.perSecond * part * load.limitFactor
        return AccountConfig("a$number", rate, rate * BURST_S)
    }

    private fun sinceMs() = queue.nowMs - startMs - WARM_UP_MS

    private fun isDead(daemon: Daemon) = sinceMs() in load.deadSpan && daemon.id.drop(1).toInt() < load.daemons * load.deadShare

    private fun arrivals(number: Int) {
        val hot = number == HOT && sinceMs() in load.hotSpan
        val perMs = accounts[number].ratePerSecond / load.limitFactor * load.surge * (if (hot) load.hotFactor else 1.0) / MS_PER_SECOND
        val pauseMs = -ln(1.0 - queue.random.nextDouble()) / perMs
        queue.after(pauseMs.toLong().coerceAtLeast(0)) {
            if (sinceMs() < load.lengthMs) {
                arrive(accounts[number])
                arrivals(number)
            }
        }
    }

    private fun arrive(account: AccountConfig) {
        val daemon = generateSequence { fleet.random(queue.random) }.first { !isDead(it) }
        val bucket = ideal.getValue(account.name)
        bucket.refill(queue.nowMs, 0.0)
        val window = windows.getOrPut(account.name to sinceMs() / WINDOW_MS) { Window() }
        if (bucket.take(1) == 1) window.owed++
        val stock = daemon.stocks.getOrPut(account.name) { TokenStock(queue.nowMs) }
        when (stock.take(queue.nowMs)) {
            TakeResult.TAKEN -> window.admitted++
            TakeResult.REFUSED -> Unit
            TakeResult.ASK_POOL -> ask(daemon, mapOf(account to 1)) { if (stock.take(queue.nowMs) == TakeResult.TAKEN) window.admitted++ }
        }
    }

    private fun report(daemon: Daemon) {
        if (!isDead(daemon)) {
            val wants = accounts.associateWith { daemon.stocks[it.name]?.closeInterval(queue.nowMs) ?: 0 }.filterValues { it > 0 }
            ask(daemon, wants) { }
        }
        queue.after(REPORT_MS) { report(daemon) }
    }

    private fun ask(daemon: Daemon, wants: Map<AccountConfig, Int>, onAnswer: () -> Unit) {
        queue.after(daemon.delayMs) {
            val grants = pool.take(daemon.id, wants, load.daemons, queue.nowMs)
            queue.after(daemon.delayMs) {
                grants.forEach { daemon.stocks.getValue(it.account).onGrant(it, queue.nowMs) }
                onAnswer()
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
                AccountLoad("accounts-hot-surge-small-fleet", daemons = 37, perSecond = 200.0, surge = 1.6, hotFactor = 10.0),
            )
        private const val REPORT_MS = 500L
        private const val WARM_UP_MS = 5_000L
        private const val WINDOW_MS = 2_000L
        private const val HOT = 2

        /** Burst of an account in seconds of its rate. */
        private const val BURST_S = 1.0
        private const val MS_PER_SECOND = 1_000.0
    }
}
