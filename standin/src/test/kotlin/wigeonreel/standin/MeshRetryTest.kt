package wigeonreel.standin

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import java.util.concurrent.atomic.AtomicInteger

/** Tests over real sockets what becomes of requests whose server never answers. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MeshRetryTest {
    private val fleet = MeshFleet(listOf("front", "back", "back"))
    private val front = fleet.vms[0]
    private val servers = fleet.vms.drop(1).map { it.server }
    private val ids = AtomicInteger()

    private fun route(name: String, kind: String) =
        """{"name":"$name","host":"h.example","prefix":"/$name/","kind":"$kind","timeoutS":2,"targetLatencyS":1,"priority":1,""" +
            """"service":"back","attempts":2,"public":false}"""

    @BeforeAll
    fun start() {
        fleet.configure(
            """{"version":"00000001","routes":[${route("read", "idempotent")},${route("book", "non_idempotent")}],""" +
                """"services":[{"name":"front"},{"name":"back"}],"limits":{},""" +
                """"tenants":[{"name":"t","apiKeys":["k1"],"ratePerS":1000,"burst":1000}]}""",
        )
        fleet.await("the service answers") { send("/read/x", "GET") == 200 && send("/book/x", "POST") == 200 }
        fleet.await("the service times of both servers are settled") {
            send("/read/x", "GET")
            servers.all { server -> server.received.count { it.uri == "/read/x" } > SETTLED_READS }
        }
    }

    @AfterAll
    fun stop() = fleet.close()

    private fun send(path: String, method: String): Int {
        val headers =
            listOf("Host" to "h.example", "X-Attempt-Id" to "r${ids.incrementAndGet()}", "X-Deadline-Ms" to "2000", "X-Credential" to "k1")
        val request = HttpRequest(method, path, headers.map { HttpHeader(it.first, it.second) })
        return (fleet.call(front.callers, request) as? HttpResult.Answer)?.response?.status ?: 0
    }

    /** Sends one request, of which the first server that receives it never answers; returns its status and the number of servers that ran it. */
    private fun sendWithLostAnswer(path: String, method: String): Pair<Int, Int> {
        val runs = AtomicInteger()
        servers.forEach { server ->
            server.behaviour = { if (runs.incrementAndGet() > 1) it.respond(FakeServer.signed(it.request, 200, "late")) }
        }
        return send(path, method) to runs.get()
    }

    @Test
    fun `an idempotent request is answered by another server, and a non-idempotent one is not repeated`() {
        expectThat(sendWithLostAnswer("/read/x", "GET")).isEqualTo(200 to 2)
        expectThat(sendWithLostAnswer("/book/x", "POST")).isEqualTo(504 to 1)
    }

    private companion object {
        /** Requests after which a daemon reports its server's mean service time. */
        const val SETTLED_READS = 10
    }
}
