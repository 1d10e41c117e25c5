package wigeonreel.traffic

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.daemon.SYSTEM_CLOCK
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.HttpResponse
import wigeonreel.http.eventLoop
import wigeonreel.http.textResponse
import wigeonreel.membership.ServerInfo
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class GuardServiceTest {
    private val loop = eventLoop("test")
    private val address = HttpAddress("127.0.0.1", ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort })

    /** Server that answers its first request and sheds the later ones, with or without their context. */
    private class SheddingServer(
        private val echoesContext: Boolean,
    ) : HttpHandler {
        private var requests = 0

        override fun handle(exchange: HttpExchange) {
            if (requests++ == 0) return exchange.respond(textResponse(200, "first"))
            val context = exchange.request.header(HeaderNames.CONTEXT).takeIf { echoesContext }
            val headers = listOfNotNull(HttpHeader(HeaderNames.SHED, "true"), context?.let { HttpHeader(HeaderNames.CONTEXT, it) })
            exchange.respond(HttpResponse(503, headers))
        }

        override fun reject(fault: HttpFault) = textResponse(400, fault.name)
    }

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
    }

    @TestFactory
    fun `a repeated refusal on a kept connection counts as that of the present request`() =
        mapOf(true to Outcome.NOT_RUN, false to Outcome.UNKNOWN).map { (echoesContext, expected) ->
            DynamicTest.dynamicTest("the server echoes the context: $echoesContext") {
                val listener = HttpListener("server", loop, address.host, address.port, HttpLimits(), SheddingServer(echoesContext))
                listener.start()
                val metrics = TrafficMetrics(PrometheusMeterRegistry(PrometheusConfig.DEFAULT))
                val guard = GuardService(TrafficState(), ContextTable(), HttpConnector(loop), metrics, SYSTEM_CLOCK)
                loop.submit { guard.onAnnouncement(LocalServer(ServerInfo("s", 10, ready = true), address, 0), SYSTEM_CLOCK.nowMs()) }.get()
                expectThat(forward(guard, "1").outcome).isEqualTo(Outcome.ANSWERED)
                expectThat(forward(guard, "2").outcome).isEqualTo(expected)
                listener.stop()
            }
        }

    private fun forward(guard: GuardService, id: String): ForwardReply {
        val reply = CompletableFuture<ForwardReply>()
        val request =
            ForwardRequest
                .newBuilder()
                .setAttemptId(id)
                .setRootId(id)
                .setService("s")
                .setMethod("POST")
                .setUri("/")
                .setAccount("a")
                .setWeight(1.0)
                .setTimeoutMs(5_000)
                .build()
        loop.execute { guard.forward(request) { reply.complete(it) } }
        return reply.get(10, TimeUnit.SECONDS)
    }
}
