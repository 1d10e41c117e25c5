package wigeonreel.bench

import kotlinx.serialization.Serializable
import wigeonreel.config.Worth

/** The users' measures of one case. */
@Serializable
internal data class OverloadReport(
    val case: String,
    val control: String,
    val goodputPerSecond: Double,
    val criticalWhole: Double,
    val recoveryMs: Long,
    val worstServed: Double,
)

/** Counts whole answers of one run by class, account and time. */
internal class OverloadMeasures(
    private val case: OverloadCase,
) {
    private class Counter {
        var sent = 0L
        var whole = 0L
    }

    private val byAccount = HashMap<String, Counter>()
    private val byWorth = HashMap<Worth, Counter>()
    private val sentBySlice = LongArray(SLICES)
    private val wholeBySlice = LongArray(SLICES)
    private var disturbedWhole = 0L

    fun onSent(account: String, worth: Worth, sentMs: Long) {
        sentBySlice[sliceOf(sentMs)]++
        if (!disturbed(sentMs)) return
        byAccount.getOrPut(account) { Counter() }.sent++
        byWorth.getOrPut(worth) { Counter() }.sent++
    }

    fun onWhole(account: String, worth: Worth, sentMs: Long) {
        wholeBySlice[sliceOf(sentMs)]++
        if (!disturbed(sentMs)) return
        disturbedWhole++
        byAccount.getOrPut(account) { Counter() }.whole++
        byWorth.getOrPut(worth) { Counter() }.whole++
    }

    fun report(control: Control): OverloadReport =
        OverloadReport(
            case = case.name,
            control = control.name.lowercase(),
            goodputPerSecond = disturbedWhole / ((OverloadCase.DISTURBED_TO_MS - MEASURED_FROM_MS) / MS_PER_SECOND),
            criticalWhole = byWorth[Worth.CRITICAL]?.let { it.whole.toDouble() / it.sent } ?: 1.0,
            recoveryMs = recoveryMs(),
            worstServed = worstServed(),
        )

    /** Least whole answers of an account against its fair share: its demand, or its part of what all got. */
    private fun worstServed(): Double {
        val total = byAccount.values.sumOf { it.whole }.toDouble()
        return case.accounts.minOf { account ->
            val counter = byAccount.getValue(account.name)
            counter.whole / minOf(counter.sent.toDouble(), total * account.part).coerceAtLeast(1.0)
        }
    }

    private fun recoveryMs(): Long {
        val first = sliceOf(OverloadCase.DISTURBED_TO_MS)
        val recovered = (first until SLICES).firstOrNull { wholeBySlice[it] >= sentBySlice[it] * RECOVERED_SHARE } ?: return -1
        return (recovered - first) * SLICE_MS
    }

    private fun disturbed(sentMs: Long) = sentMs in MEASURED_FROM_MS until OverloadCase.DISTURBED_TO_MS

    private fun sliceOf(sentMs: Long) = (sentMs / SLICE_MS).toInt().coerceIn(0, SLICES - 1)

    private companion object {
        const val SLICE_MS = 100L
        const val SLICES = (OverloadCase.END_MS / SLICE_MS).toInt()
        const val MEASURED_FROM_MS = OverloadCase.DISTURBED_FROM_MS + 1_000L
        const val MS_PER_SECOND = 1_000.0
        const val RECOVERED_SHARE = 0.95
    }
}
