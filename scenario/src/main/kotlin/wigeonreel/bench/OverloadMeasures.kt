package wigeonreel.bench

import kotlinx.serialization.Serializable
import wigeonreel.config.Worth

/** Measures of one case, as callers see them. */
@Serializable
internal data class OverloadReport(
    val case: String,
    val control: String,
    val goodputPerSecond: Double,
    val criticalWhole: Double,
    val recoveryMs: Long,
    val worstServed: Double,
)

/** Counts the requests of one run and their successes, by worth class, account and time. */
internal class OverloadMeasures(
    private val case: OverloadCase,
) {
    private class Counter {
        var sent = 0L
        var succeeded = 0L
    }

    private val byAccount = HashMap<String, Counter>()
    private val byWorth = HashMap<Worth, Counter>()
    private val sentBySlice = LongArray(SLICES)
    private val succeededBySlice = LongArray(SLICES)
    private var measuredSuccesses = 0L

    fun onSent(account: String, worth: Worth, sentMs: Long) {
        sentBySlice[sliceOf(sentMs)]++
        if (!isMeasured(sentMs)) return
        byAccount.getOrPut(account) { Counter() }.sent++
        byWorth.getOrPut(worth) { Counter() }.sent++
    }

    fun onSuccess(account: String, worth: Worth, sentMs: Long) {
        succeededBySlice[sliceOf(sentMs)]++
        if (!isMeasured(sentMs)) return
        measuredSuccesses++
        byAccount.getOrPut(account) { Counter() }.succeeded++
        byWorth.getOrPut(worth) { Counter() }.succeeded++
    }

    fun report(control: Control): OverloadReport =
        OverloadReport(
            case = case.name,
            control = control.name.lowercase(),
            goodputPerSecond = measuredSuccesses / ((OverloadCase.DISTURBED_TO_MS - MEASURED_FROM_MS) / MS_PER_SECOND),
            criticalWhole = byWorth[Worth.CRITICAL]?.let { it.succeeded.toDouble() / it.sent } ?: 1.0,
            recoveryMs = recoveryMs(),
            worstServed = minServedShare(),
        )

    /**
     * Returns the lowest ratio of successes to fair share among the accounts.
     *
     * The fair share is the minimum of the demand of the account and its share of all successes.
     */
    private fun minServedShare(): Double {
        val total = byAccount.values.sumOf { it.succeeded }.toDouble()
        return case.accounts.minOf { account ->
            val counter = byAccount.getValue(account.name)
            counter.succeeded / minOf(counter.sent.toDouble(), total * account.share).coerceAtLeast(1.0)
        }
    }

    private fun recoveryMs(): Long {
        val first = sliceOf(OverloadCase.DISTURBED_TO_MS)
        val recovered = (first until SLICES).firstOrNull { succeededBySlice[it] >= sentBySlice[it] * RECOVERED_SHARE } ?: return -1
        return (recovered - first) * SLICE_MS
    }

    private fun isMeasured(sentMs: Long) = sentMs in MEASURED_FROM_MS until OverloadCase.DISTURBED_TO_MS

    private fun sliceOf(sentMs: Long) = (sentMs / SLICE_MS).toInt().coerceIn(0, SLICES - 1)

    private companion object {
        const val SLICE_MS = 100L
        const val SLICES = (OverloadCase.END_MS / SLICE_MS).toInt()
        const val MEASURED_FROM_MS = OverloadCase.DISTURBED_FROM_MS + 1_000L
        const val MS_PER_SECOND = 1_000.0
        const val RECOVERED_SHARE = 0.95
    }
}
