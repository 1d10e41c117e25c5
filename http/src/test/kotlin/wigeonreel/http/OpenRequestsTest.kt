package wigeonreel.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class OpenRequestsTest {
    private val loop = eventLoop("test")
    private val exchanges = LinkedBlockingQueue<HttpExchange>()
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val handler =
        object : HttpHandler {
            override fun handle(exchange: HttpExchange) {
                exchanges += exchange
            }

            override fun reject(fault: HttpFault) = textResponse(400, fault.name)
        }
    private val listener = HttpListener("test", loop, "127.0.0.1", port, HttpLimits(), handler).also { it.start() }

    @AfterEach
    fun stop() {
        listener.stop()
        loop.shutdownGracefully()
    }

    private fun openRequests() = loop.submit<Int> { listener.openRequests }.get()

    private fun awaitOpenRequests(expected: Int) {
        val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (openRequests() != expected && System.nanoTime() < untilNs) Thread.sleep(5)
        expectThat(openRequests()).isEqualTo(expected)
    }

    private fun request(): Socket =
        Socket("127.0.0.1", port).also { it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray()) }

    private fun received() = exchanges.poll(10, TimeUnit.SECONDS)!!

    @Test
    fun `a request whose handler has not decided yet is not counted as open`() {
        request().use {
            val exchange = received()
            awaitOpenRequests(1)
            loop.submit { exchange.respond(textResponse(200, "late")) }.get()
            awaitOpenRequests(0)
        }
    }

    @Test
    fun `a response that its reader has not read yet is not counted as open`() {
        request().use { socket ->
            val exchange = received()
            loop.submit { exchange.respond(HttpResponse(200, body = ByteArray(BODY_BYTES)), close = true) }.get()
            expectThat(openRequests()).isEqualTo(1)
            socket.getInputStream().readAllBytes()
            awaitOpenRequests(0)
        }
    }

    @Test
    fun `a request whose caller has left stays open`() {
        val socket = request()
        val exchange = received()
        socket.close()
        awaitOpenRequests(0)
        loop.submit { exchange.respond(textResponse(200, "too late")) }.get()
        expectThat(openRequests()).isEqualTo(0)
    }

    private companion object {
        /** More than the buffers of a connection hold. */
        const val BODY_BYTES = 32 * 1024 * 1024
    }
}
