package wigeonreel.load

import org.HdrHistogram.Histogram

/** Counts what became of the requests of one run. */
internal class RunRecorder(
    private val settings: LoadSettings,
    private val startedMs: Long,
) {
    private class Account {
        var sent = 0L
        var whole = 0L
        var wrongful = 0L
        val refused = sortedMapOf<String, Long>()
    }

    private val byAccount = settings.accounts.associate { it.name to Account() }
    private val latency = Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    private val slices = (settings.seconds * MS_PER_SECOND / SLICE_MS).toInt() + 1
    private val offered = LongArray(slices)
    private val whole = LongArray(slices)
    private var foreign = 0L

    fun onSent(account: LoadAccount, sentMs: Long) {
        byAccount.getValue(account.name).sent++
        offered[sliceOf(sentMs)]++
    }

    fun onWhole(account: LoadAccount, sentMs: Long, elapsedNs: Long) {
        byAccount.getValue(account.name).whole++
        whole[sliceOf(sentMs)]++
        latency.recordValue((elapsedNs / NS_PER_US).coerceAtMost(MAX_LATENCY_US))
    }

    fun onForeign() {
        foreign++
    }

    fun onRefused(account: LoadAccount, kind: String, wrongful: Boolean) {
        val counted = byAccount.getValue(account.name)
        counted.refused.merge(kind, 1, Long::plus)
        if (wrongful) counted.wrongful++
    }

    fun report(doubleRuns: Long, keysSeen: Long): LoadReport {
        val sent = byAccount.values.sumOf { it.sent }
        val wrongful = byAccount.values.sumOf { it.wrongful }
        return LoadReport(
            seed = settings.seed,
            offeredPerSecond = sent.toDouble() / settings.seconds,
            goodputPerSecond = byAccount.values.sumOf { it.whole }.toDouble() / settings.seconds,
            recoveryMs = recoveryMs(),
            worstServed = settings.accounts.minOf { servedShare(it) },
            wrongfulRefusals = if (sent == 0L) 0.0 else wrongful.toDouble() / sent,
            foreignAnswers = foreign,
            p50Ms = latency.getValueAtPercentile(MEDIAN) / US_PER_MS,
            p99Ms = latency.getValueAtPercentile(HIGH) / US_PER_MS,
            doubleRuns = doubleRuns,
            keysSeen = keysSeen,
            accounts = settings.accounts.map { accountReport(it) },
        )
    }

    private fun accountReport(account: LoadAccount): AccountReport {
        val counted = byAccount.getValue(account.name)
        return AccountReport(account.name, counted.sent, counted.whole, counted.refused, counted.wrongful, account.grantedPerSecond)
    }

    private fun servedShare(account: LoadAccount): Double {
        val counted = byAccount.getValue(account.name)
        val entitled = minOf(counted.sent.toDouble(), account.grantedPerSecond * settings.seconds)
        return if (entitled <= 0.0) 1.0 else counted.whole / entitled
    }

    private fun recoveryMs(): Long {
        if (settings.surge == 1.0) return 0
        val surgeEnd = slices * 2 / 3
        val recovered = (surgeEnd until slices - 1).firstOrNull { whole[it] >= offered[it] * RECOVERED_SHARE } ?: return -1
        return (recovered - surgeEnd) * SLICE_MS
    }

    private fun sliceOf(atMs: Long) = ((atMs - startedMs) / SLICE_MS).toInt().coerceIn(0, slices - 1)

    companion object {
        /** Refusal that counts as wrongful when the account was within its rate. */
        const val OVER_RATE = "over-rate"
        private const val MAX_LATENCY_US = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val SLICE_MS = 100L
        private const val MS_PER_SECOND = 1_000L
        private const val NS_PER_US = 1_000L
        private const val US_PER_MS = 1_000.0
        private const val MEDIAN = 50.0
        private const val HIGH = 99.0
        private const val RECOVERED_SHARE = 0.95
    }
}
