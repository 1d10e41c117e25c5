package wigeonreel.standin

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import java.util.concurrent.atomic.AtomicInteger

/** Tests the request path over real sockets: caller, two daemons, backend server, and calls that a server makes to another service. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MeshPathTest {
    private val fleet = MeshFleet(listOf("front", "back", "back"))
    private val front = fleet.vms[0]
    private val back = fleet.vms[1]
    private val spare = fleet.vms[2]
    private val ids = AtomicInteger()

    private fun route(name: String, service: String, kind: String, open: Boolean) =
        """{"name":"$name","host":"h.example","prefix":"/$name/","kind":"$kind","timeoutS":2,"targetLatencyS":1,"priority":1,""" +
            """"service":"$service","attempts":2,"public":$open}"""

    private fun configuration(version: String, keys: String = "\"k1\"", extra: String = "") =
        """{"version":"$version","routes":[${route(
            "view",
            "front",
            "idempotent",
            false,
        )},${route("book", "back", "non_idempotent", false)},""" +
            """${route("read", "back", "idempotent", false)},${route("inner", "back", "idempotent", true)}$extra],""" +
            """"services":[{"name":"front"},{"name":"back"}],"limits":{},""" +
            """"tenants":[{"name":"t","apiKeys":[$keys],"ratePerS":1000,"burst":1000}]}"""

    @BeforeAll
    fun start() {
        fleet.configure(configuration("00000001"))
        fleet.await("the fleet serves") {
            send("/view/x").status == 200 &&
                send("/read/x").status == 200 &&
                send("/book/x", method = "POST").status == 200
        }
        // Both servers are at the same distance from the front daemon. A daemon on the VM of one of them would send only to that one.
        fleet.await("both servers of the service receive requests") {
            send("/read/x")
            spare.server.received.isNotEmpty() && back.server.received.isNotEmpty()
        }
    }

    @AfterAll
    fun stop() = fleet.close()

    @BeforeEach
    fun resetServers() {
        fleet.vms.forEach { vm ->
            vm.server.received.clear()
            vm.server.behaviour = { it.respond(FakeServer.signed(it.request, 200, "from ${vm.server.service}")) }
        }
    }

    private fun headers(vararg more: Pair<String, String>) =
        (listOf("Host" to "h.example", "X-Attempt-Id" to "a${ids.incrementAndGet()}", "X-Deadline-Ms" to "2000") + more).map {
            HttpHeader(it.first, it.second)
        }

    private fun send(
        path: String,
        method: String = "GET",
        key: String? = "k1",
        to: HttpAddress = front.callers,
        body: ByteArray = ByteArray(0),
    ): HttpResponse {
        val sent = if (key == null) headers() else headers("X-Credential" to key)
        return (fleet.call(to, HttpRequest(method, path, sent, body)) as? HttpResult.Answer)?.response ?: HttpResponse(0)
    }

    private val executedRequests get() = fleet.vms.flatMap { it.server.received }

    @Test
    fun `a request reaches a server of its route with the account's name and without the key`() {
        val answer = send("/book/x?q=1", "POST", body = "hello".encodeToByteArray())
        expectThat(answer.status).isEqualTo(200)
        expectThat(answer.header("X-Response-Signature")).isNotNull()
        expectThat(executedRequests).hasSize(1).get { single() }.and {
            get { uri }.isEqualTo("/book/x?q=1")
            get { body.decodeToString() }.isEqualTo("hello")
            get { header("X-Tenant") }.isEqualTo("t")
            get { header("X-Caller-Service") }.isEqualTo("front")
            get { header("X-Credential") }.isNull()
            get { header("X-Expected-Instance") }.isNotNull()
        }
    }

    @Test
    fun `a server's own call goes back out and its answer into the first one`() {
        front.server.behaviour = { exchange ->
            fleet.callAsync(front.callers, HttpRequest("GET", "/inner/x", headers())) { result ->
                val inner = (result as? HttpResult.Answer)?.response?.text
                exchange.respond(FakeServer.signed(exchange.request, 200, "front of $inner"))
            }
        }
        expectThat(send("/view/x").text).isEqualTo("front of from back")
    }

    @Test
    fun `unknown routes and keys are refused and run nowhere`() {
        expectThat(send("/none/x").status).isEqualTo(404)
        expectThat(send("/view/x", key = "wrong").status).isEqualTo(401)
        expectThat(send("/view/x", key = null).status).isEqualTo(401)
        expectThat(send("/inner/x", key = "wrong").status).isEqualTo(401)
        expectThat(executedRequests).hasSize(0)
    }

    /** Status 500 means that the server has executed the request. A benchmark found requests that ran twice because they were retried. */
    @Test
    fun `a non-idempotent request that a server failed is not sent again`() {
        listOf(back, spare).forEach { vm -> vm.server.behaviour = { it.respond(FakeServer.signed(it.request, 500, "broken")) } }
        repeat(20) { expectThat(send("/book/x", "POST").status).isEqualTo(500) }
        expectThat(executedRequests).hasSize(20)
    }

    @Test
    fun `a non-idempotent request whose answer is lost is told as unknown and not sent again`() {
        listOf(back, spare).forEach { vm ->
            vm.server.behaviour =
                { it.respond(HttpResponse(200, emptyList(), "no proof".encodeToByteArray())) }
        }
        expectThat(send("/book/x", "POST").status).isEqualTo(504)
        listOf(back, spare).forEach { vm ->
            vm.server.behaviour =
                { it.respond(HttpResponse(200, listOf(HttpHeader("X-Attempt-Id", it.request.header("X-Attempt-Id").orEmpty())))) }
        }
        expectThat(send("/book/x", "POST").status).isEqualTo(502)
        expectThat(executedRequests).hasSize(2)
    }

    @Test
    fun `a request that a server turns away unrun goes to another or is refused as not run`() {
        listOf(back, spare).forEach { vm -> vm.server.behaviour = { it.respond(shed(it.request.header("X-Attempt-Id"))) } }
        expectThat(send("/book/x", "POST").status).isEqualTo(503)
    }

    /** The refusal carried no id and repeated that of an earlier request on the connection, whose server ran the present one. */
    @Test
    fun `a repeated refusal is told to the caller of a request that runs`() {
        fleet.await("a connection to each server is kept") {
            send("/read/x")
            listOf(back, spare).all { it.server.received.isNotEmpty() }
        }
        listOf(back, spare).forEach { vm ->
            vm.server.received.clear()
            vm.server.behaviour = { it.respond(shed(id = null)) }
        }
        expectThat(send("/book/x", "POST").status).isEqualTo(502)
        expectThat(executedRequests).hasSize(1)
    }

    private fun shed(id: String?) =
        HttpResponse(503, listOfNotNull(HttpHeader("X-Not-Executed", "1"), id?.let { HttpHeader("X-Attempt-Id", it) }))

    @Test
    fun `a withdrawn key and an added route take hold, also while the store forgets its history`() {
        fleet.storeFault("forget")
        fleet.configure(configuration("00000005", keys = "\"k1\",\"k2\"", extra = "," + route("added", "front", "idempotent", false)))
        fleet.await("the new key and route work") { fleet.vms.all { send("/added/x", key = "k2", to = it.callers).status == 200 } }
        fleet.storeFault("none")
        fleet.configure(configuration("00000009"))
        fleet.await("the key stops working") { fleet.vms.all { send("/view/x", key = "k2", to = it.callers).status == 401 } }
        expectThat(send("/added/x").status).isEqualTo(404)
    }
}
