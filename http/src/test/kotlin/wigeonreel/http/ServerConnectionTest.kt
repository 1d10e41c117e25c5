package wigeonreel.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class ServerConnectionTest {
    private val loop = eventLoop("test")
    private val exchanges = LinkedBlockingQueue<HttpExchange>()
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private val handler =
        object : HttpHandler {
            override fun handle(exchange: HttpExchange) {
                check(exchange.request.path != "/fails") { "the handler fails" }
                exchanges += exchange
            }

            override fun reject(fault: HttpFault) = textResponse(502, fault.name)
        }
    private val listener = HttpListener("test", loop, "127.0.0.1", port, HttpLimits(), handler).also { it.start() }

    @AfterEach
    fun stop() {
        listener.stop()
        loop.shutdownGracefully()
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun receive() = exchanges.poll(10, TimeUnit.SECONDS)!!

    @Test
    fun `a request behind a slowly read last response is handled and its connection closed`() {
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 10_000
            socket.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            val first = receive()
            loop.submit { first.respond(HttpResponse(200, body = ByteArray(BODY_BYTES)), close = true) }.get()
            socket.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            expectThat(exchanges.poll(500, TimeUnit.MILLISECONDS)?.request?.uri).isNull()
            socket.getInputStream().readAllBytes()
            expectThat(exchanges.poll()?.request?.uri).isNull()
        }
    }

    @Test
    fun `a failing handler closes the connection without an answer`() {
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 10_000
            socket.send("GET /fails HTTP/1.1\r\nHost: h\r\n\r\n")
            val answer = socket.getInputStream().readAllBytes().decodeToString()
            expectThat(answer).contains("HTTP/1.1 502").contains(HttpFault.INTERNAL_ERROR.name)
        }
    }

    @Test
    fun `a request that ends within its head is handled`() {
        val head = "GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        for (length in 1 until head.length) {
            Socket("127.0.0.1", port).use { socket ->
                socket.send(head.take(length))
                socket.shutdownOutput()
                socket.soTimeout = 10_000
                runCatching { socket.getInputStream().readAllBytes() }
            }
        }
        expectThat(exchanges.size).isEqualTo(0)
    }

    private companion object {
        /** More than the buffers of a connection hold. */
        const val BODY_BYTES = 32 * 1024 * 1024
    }
}
