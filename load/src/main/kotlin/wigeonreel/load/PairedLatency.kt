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

/** Latency in milliseconds of direct calls and of calls through the system, and their difference at the median and the 99th percentile. */
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

/** Measures the added latency: sends each request once directly to the server and once through the system, in alternating order. */
internal class PairedLatency(
    private val loop: EventLoopGroup,
    private val connector: HttpConnector,
    private val server: HttpAddress,
    private val daemon: HttpAddress,
    private val service: String,
    private val key: String,
) {
    private val directUs = Histogram(MAX_US, SIGNIFICANT_DIGITS)
    private val throughUs = Histogram(MAX_US, SIGNIFICANT_DIGITS)
    private var failed = 0

    fun run(warmUp: Int, pairs: Int, gapUs: Long): LatencyReport {
        repeat(warmUp) { sendPair(it, gapUs) }
        directUs.reset()
        throughUs.reset()
        failed = 0
        repeat(pairs) { sendPair(it, gapUs) }
        return report(pairs)
    }

    private fun sendPair(number: Int, gapUs: Long) {
        val order = if (number % 2 == 0) listOf(true, false) else listOf(false, true)
        order.forEach { isDirect ->
            measure(isDirect, number)
            LockSupport.parkNanos(gapUs * NS_PER_US)
        }
    }

    private fun measure(isDirect: Boolean, number: Int) {
        val headers = listOf(HttpHeader("X-Request-Id", "$number"), HttpHeader("Wigeon-Key", key), HttpHeader("Wigeon-Service", service))
        val request = HttpRequest("GET", "/lookup", if (isDirect) headers.take(1) else headers)
        val done = CompletableFuture<Long>()
        loop.execute {
            val startedNs = System.nanoTime()
            connector.send(if (isDirect) server else daemon, request, TIMEOUT_MS) { result ->
                val succeeded = result is HttpResult.Answer && result.response.status == OK
                done.complete(if (succeeded) System.nanoTime() - startedNs else -1)
            }
        }
        val elapsedNs = done.get()
        if (elapsedNs < 0) failed++ else (if (isDirect) directUs else throughUs).recordValue(elapsedNs / NS_PER_US)
    }

    private fun report(pairs: Int): LatencyReport {
        val direct50 = directUs.ms(MEDIAN)
        val direct99 = directUs.ms(PERCENTILE_99)
        val through50 = throughUs.ms(MEDIAN)
        val through99 = throughUs.ms(PERCENTILE_99)
        return LatencyReport(pairs, direct50, direct99, through50, through99, through50 - direct50, through99 - direct99, failed)
    }

    private fun Histogram.ms(percentile: Double) = getValueAtPercentile(percentile) / US_PER_MS

    private companion object {
        const val MAX_US = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val NS_PER_US = 1_000L
        const val US_PER_MS = 1_000.0
        const val MEDIAN = 50.0
        const val PERCENTILE_99 = 99.0
        const val TIMEOUT_MS = 5_000L
        const val OK = 200
    }
}
