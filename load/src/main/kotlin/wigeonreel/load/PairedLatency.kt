package wigeonreel.load

import io.netty.channel.EventLoopGroup
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.locks.LockSupport

/** Latency of direct calls, calls through the system, and the difference at equal percentiles; in milliseconds. */
@Serializable
data class LatencyReport(
    val pairs: Int,
    val direct50Ms: Double,
    val direct99Ms: Double,
    val through50Ms: Double,
    val through99Ms: Double,
    val added50Ms: Double,
    val added99Ms: Double,
    val failed: Int,
)

/** Sends each request twice, once to the server itself and once through the system, in alternating order. */
internal class PairedLatency(
    private val loop: EventLoopGroup,
    private val connector: HttpConnector,
    private val direct: HttpAddress,
    private val entry: HttpAddress,
    private val service: String,
    private val key: String,
) {
    private val directUs = Histogram(MAX_US, DIGITS)
    private val throughUs = Histogram(MAX_US, DIGITS)
    private var failed = 0

    fun run(warmUp: Int, pairs: Int, gapUs: Long): LatencyReport {
        repeat(warmUp) { pair(it, gapUs) }
        directUs.reset()
        throughUs.reset()
        failed = 0
        repeat(pairs) { pair(it, gapUs) }
        return report(pairs)
    }

    private fun pair(number: Int, gapUs: Long) {
        val order = if (number % 2 == 0) listOf(true, false) else listOf(false, true)
        order.forEach { isDirect ->
            record(isDirect, number)
            LockSupport.parkNanos(gapUs * NS_PER_US)
        }
    }

    private fun record(isDirect: Boolean, number: Int) {
        val headers = listOf(HttpHeader("X-Request-Id", "$number"), HttpHeader("Wigeon-Key", key), HttpHeader("Wigeon-Service", service))
        val request = HttpRequest("GET", "/lookup", if (isDirect) headers.take(1) else headers)
        val done = CompletableFuture<Long>()
        loop.execute {
            val startedNs = System.nanoTime()
            connector.send(if (isDirect) direct else entry, request, TIMEOUT_MS) { result ->
                val whole = result is HttpResult.Answer && result.response.status == OK
                done.complete(if (whole) System.nanoTime() - startedNs else -1)
            }
        }
        val elapsedNs = done.get()
        if (elapsedNs < 0) failed++ else (if (isDirect) directUs else throughUs).recordValue(elapsedNs / NS_PER_US)
    }

    private fun report(pairs: Int): LatencyReport {
        val direct50 = directUs.ms(MEDIAN)
        val direct99 = directUs.ms(HIGH)
        val through50 = throughUs.ms(MEDIAN)
        val through99 = throughUs.ms(HIGH)
        return LatencyReport(pairs, direct50, direct99, through50, through99, through50 - direct50, through99 - direct99, failed)
    }

    private fun Histogram.ms(percentile: Double) = getValueAtPercentile(percentile) / US_PER_MS

    private companion object {
        const val MAX_US = 60_000_000L
        const val DIGITS = 3
        const val NS_PER_US = 1_000L
        const val US_PER_MS = 1_000.0
        const val MEDIAN = 50.0
        const val HIGH = 99.0
        const val TIMEOUT_MS = 5_000L
        const val OK = 200
    }
}
