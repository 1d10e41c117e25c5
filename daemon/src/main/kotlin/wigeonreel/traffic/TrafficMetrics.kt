package wigeonreel.traffic

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import wigeonreel.outcome.Refusal
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/** Metrics of request handling. */
class TrafficMetrics(
    private val registry: MeterRegistry,
) {
    private val guardRefusals = EnumMap<Refusal, Counter>(Refusal::class.java)
    private val entryRefusals = EnumMap<Refusal, Counter>(Refusal::class.java)
    private val answers = Counter.builder("wigeon.entry.answers").description("whole answers to callers").register(registry)
    private val retries = Counter.builder("wigeon.retries").description("attempts after the first").register(registry)
    private val violations = Counter.builder("wigeon.invariant.violations").description("failed checks").register(registry)
    private val responseTime = Timer.builder("wigeon.entry.time").publishPercentiles(P50, P99).register(registry)

    /** Counts a request refused by the guard. */
    fun guardRefused(refusal: Refusal) = guardRefusals.getOrPut(refusal) { refusals("wigeon.guard.refusals", refusal) }.increment()

    /** Counts a refusal sent to a caller. */
    fun entryRefused(refusal: Refusal) = entryRefusals.getOrPut(refusal) { refusals("wigeon.entry.refusals", refusal) }.increment()

    /** Counts a complete response and records its duration of [elapsedNs] nanoseconds. */
    fun answered(elapsedNs: Long) {
        answers.increment()
        responseTime.record(elapsedNs, TimeUnit.NANOSECONDS)
    }

    /** Counts a retry. */
    fun retried() = retries.increment()

    /** Counts a failed invariant check. */
    fun violated() = violations.increment()

    private fun refusals(name: String, refusal: Refusal) =
        Counter
            .builder(name)
            .tag("kind", refusal.wireName)
            .tag("outcome", refusal.ran.wireName)
            .register(registry)

    private companion object {
        const val P50 = 0.5
        const val P99 = 0.99
    }
}
