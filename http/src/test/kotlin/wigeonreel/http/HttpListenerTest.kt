package wigeonreel.http

import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket

class HttpListenerTest {
    private val handler =
        object : HttpHandler {
            override fun handle(exchange: HttpExchange) = exchange.respond(textResponse(200, ""))

            override fun reject(fault: HttpFault) = textResponse(400, fault.name)
        }

    /** The next listener on the address of a stopped one failed with "Address already in use". */
    @Test
    fun `an address is still in use after its listener has stopped`() {
        val loop = eventLoop("test")
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        repeat(ROUNDS) {
            val listener = HttpListener("server", loop, "127.0.0.1", port, HttpLimits(), handler)
            listener.start()
            listener.stop()
        }
        loop.shutdownGracefully()
    }

    private companion object {
        const val ROUNDS = 1_000
    }
}
