package wigeonreel.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Bytes that a server sends after a complete response, and a request that follows at once. */
class ReusedConnectionTest {
    private val loop = eventLoop("test")

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
    }

    /** The next request was sent on the connection before the bytes were read, and failed although its own response was sound. */
    @Tag("known-red")
    @TestFactory
    fun `bytes after a complete response fail the next request`() =
        mapOf(
            "one line" to "garbage\r\n\r\n",
            "a long line" to "x".repeat(60_000),
            "the status line of a response" to "HTTP/1.1 200 OK\r\n",
        ).map { (name, extra) -> DynamicTest.dynamicTest(name) { check(extra) } }

    private fun check(extra: String) {
        val connections = AtomicInteger()
        val received = CountDownLatch(1)
        val extraWritten = CountDownLatch(1)
        val server =
            ScriptedServer {
                val isFirst = connections.getAndIncrement() == 0
                while (readHead() >= 0) {
                    write(SOUND)
                    if (!isFirst) continue
                    received.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    write(extra)
                    extraWritten.countDown()
                }
            }
        server.use {
            val connector = HttpConnector(loop)
            val second = CompletableFuture<HttpResult>()
            loop.execute {
                connector.send(server.address, REQUEST, TIMEOUT_MS) {
                    received.countDown()
                    // The event loop is busy until the bytes wait in the socket.
                    extraWritten.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    connector.send(server.address, REQUEST, TIMEOUT_MS) { result -> second.complete(result) }
                }
            }
            expectThat(second.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS)).isA<HttpResult.Answer>().get { response.text }.isEqualTo("x")
        }
    }

    private companion object {
        const val TIMEOUT_MS = 5_000L
        const val SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
        val REQUEST = HttpRequest("GET", "/")
    }
}
