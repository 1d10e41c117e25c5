package wigeonreel.load

import org.HdrHistogram.Histogram

/** Counts the outcomes of the requests of one run. */
internal class RunRecorder(
    private val settings: LoadSettings,
    private val startedMs: Long,
) {
    private class AccountCounters {
        var sent = 0L
        var succeeded = 0L
        var wrongful = 0L
        val refused = sortedMapOf<String, Long>()
    }

    private val byAccount = settings.accounts.associate { it.name to AccountCounters() }
    private val latency = Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    private val sliceCount = (settings.seconds * MS_PER_SECOND / SLICE_MS).toInt() + 1
    private val offered = LongArray(sliceCount)
    private val succeeded = LongArray(sliceCount)
    private var foreignAnswers = 0L

    fun onSent(account: LoadAccount, sentMs: Long) {
        byAccount.getValue(account.name).sent++
        offered[sliceOf(sentMs)]++
    }

    fun onSuccess(account: LoadAccount, sentMs: Long, elapsedNs: Long) {
        byAccount.getValue(account.name).succeeded++
        succeeded[sliceOf(sentMs)]++
        latency.recordValue((elapsedNs / NS_PER_US).coerceAtMost(MAX_LATENCY_US))
    }

    fun onForeignAnswer() {
        foreignAnswers++
    }

    fun onRefused(account: LoadAccount, kind: String, wrongful: Boolean) {
        val counters = byAccount.getValue(account.name)
        counters.refused.merge(kind, 1, Long::plus)
        if (wrongful) counters.wrongful++
    }

    fun report(doubleRuns: Long, keysSeen: Long): LoadReport {
        val sent = byAccount.values.sumOf { it.sent }
        val wrongful = byAccount.values.sumOf { it.wrongful }
        return LoadReport(
            seed = settings.seed,
            offeredPerSecond = sent.toDouble() / settings.seconds,
            goodputPerSecond = byAccount.values.sumOf { it.succeeded }.toDouble() / settings.seconds,
            recoveryMs = recoveryMs(),
            worstServed = settings.accounts.minOf { servedShare(it) },
            wrongfulRefusals = if (sent == 0L) 0.0 else wrongful.toDouble() / sent,
            foreignAnswers = foreignAnswers,
            p50Ms = latency.getValueAtPercentile(MEDIAN) / US_PER_MS,
            p99Ms = latency.getValueAtPercentile(PERCENTILE_99) / US_PER_MS,
            doubleRuns = doubleRuns,
            keysSeen = keysSeen,
            accounts = settings.accounts.map { accountReport(it) },
        )
    }

    private fun accountReport(account: LoadAccount): AccountReport {
        val counters = byAccount.getValue(account.name)
        return AccountReport(account.name, counters.sent, counters.succeeded, counters.refused, counters.wrongful, account.grantedPerSecond)
    }

    private fun servedShare(account: LoadAccount): Double {
        val counters = byAccount.getValue(account.name)
        val allowed = minOf(counters.sent.toDouble(), account.grantedPerSecond * settings.seconds)
        return if (allowed <= 0.0) 1.0 else counters.succeeded / allowed
    }

    private fun recoveryMs(): Long {
        if (settings.surge == 1.0) return 0
        val surgeEnd = sliceCount * 2 / 3
        val recovered = (surgeEnd until sliceCount - 1).firstOrNull { succeeded[it] >= offered[it] * RECOVERED_SHARE } ?: return -1
        return (recovered - surgeEnd) * SLICE_MS
    }

    private fun sliceOf(atMs: Long) = ((atMs - startedMs) / SLICE_MS).toInt().coerceIn(0, sliceCount - 1)

    companion object {
        /** Kind of refusal that counts as wrongful if the account was within its rate. */
        const val OVER_RATE = "over-rate"
        private const val MAX_LATENCY_US = 60_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val SLICE_MS = 100L
        private const val MS_PER_SECOND = 1_000L
        private const val NS_PER_US = 1_000L
        private const val US_PER_MS = 1_000.0
        private const val MEDIAN = 50.0
        private const val PERCENTILE_99 = 99.0
        private const val RECOVERED_SHARE = 0.95
    }
}
