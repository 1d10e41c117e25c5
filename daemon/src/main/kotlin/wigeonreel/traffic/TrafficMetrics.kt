package wigeonreel.traffic

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import wigeonreel.outcome.Refusal
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/** Counters of the path of requests. */
class TrafficMetrics(
    private val registry: MeterRegistry,
) {
    private val guardRefusals = EnumMap<Refusal, Counter>(Refusal::class.java)
    private val entryRefusals = EnumMap<Refusal, Counter>(Refusal::class.java)
    private val answers = Counter.builder("wigeon.entry.answers").description("whole answers to callers").register(registry)
    private val retries = Counter.builder("wigeon.retries").description("attempts after the first").register(registry)
    private val violations = Counter.builder("wigeon.invariant.violations").description("failed checks").register(registry)
    private val time = Timer.builder("wigeon.entry.time").publishPercentiles(MEDIAN, HIGH).register(registry)

    /** Counts a refusal by the guard. */
    fun guardRefused(refusal: Refusal) = guardRefusals.getOrPut(refusal) { refusals("wigeon.guard.refusals", refusal) }.increment()

    /** Counts a refusal that a caller got. */
    fun entryRefused(refusal: Refusal) = entryRefusals.getOrPut(refusal) { refusals("wigeon.entry.refusals", refusal) }.increment()

    /** Counts a whole answer that took [elapsedNs]. */
    fun answered(elapsedNs: Long) {
        answers.increment()
        time.record(elapsedNs, TimeUnit.NANOSECONDS)
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
        const val MEDIAN = 0.5
        const val HIGH = 0.99
    }
}
