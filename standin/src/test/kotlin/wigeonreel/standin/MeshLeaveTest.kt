package wigeonreel.standin

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Tests the graceful shutdown of daemons and servers while callers keep sending requests. */
class MeshLeaveTest {
    private val fleet = MeshFleet(listOf("front", "back", "back"))
    private val front = fleet.vms[0]
    private val back = fleet.vms[1]
    private val spare = fleet.vms[2]

    @AfterEach
    fun stop() = fleet.close()

    private fun configure() {
        fun route(name: String, service: String, kind: String) =
            """{"name":"$name","host":"h","prefix":"/$name/","kind":"$kind","timeoutS":4,"targetLatencyS":2,"priority":1,"service":"$service","public":true}"""
        fleet.configure(
            """{"version":"1","routes":[${route("view", "front", "idempotent")},${route("book", "back", "non_idempotent")}],""" +
                """"services":[{"name":"front"},{"name":"back"}]}""",
        )
        fleet.await("the fleet serves") { status("/view/1") == 200 && status("/book/1") == 200 }
        fleet.await("both servers receive requests") {
            status("/book/2")
            back.server.received.isNotEmpty() && spare.server.received.isNotEmpty()
        }
    }

    private fun request(path: String) =
        HttpRequest("POST", path, listOf(HttpHeader("Host", "h"), HttpHeader("X-Attempt-Id", "a$path${System.nanoTime()}")))

    private fun status(path: String) = (fleet.call(front.callers, request(path)) as? HttpResult.Answer)?.response?.status

    /** A request that arrived at the start of the shutdown was forwarded, but its connection was closed before the response. */
    @Test
    fun `a stopping daemon reports unready and finishes the requests that it has read`() {
        configure()
        listOf(back, spare).forEach { vm ->
            vm.server.behaviour = { exchange ->
                Thread.sleep(1)
                exchange.respond(FakeServer.signed(exchange.request, 200, "done"))
            }
        }
        val slow = CompletableFuture<HttpResult>()
        front.server.behaviour = { exchange ->
            thread {
                Thread.sleep(1_500)
                exchange.respond(FakeServer.signed(exchange.request, 200, "slow"))
            }
        }
        thread { slow.complete(fleet.call(front.callers, request("/view/slow"))) }
        fleet.await("the slow request runs") { front.server.received.any { it.uri == "/view/slow" } }
        val stopped = thread { front.stop() }
        fleet.await("the daemon reports unready") {
            (fleet.call(front.readiness, HttpRequest("GET", "/ready")) as? HttpResult.Answer)?.response?.status ==
                503
        }
        val lost = CopyOnWriteArrayList<String?>()
        while (stopped.isAlive) {
            val request = request("/book/more")
            if (fleet.call(front.callers, request) is HttpResult.Lost) lost += request.header("X-Attempt-Id")
        }
        expectThat(slow.get()).isA<HttpResult.Answer>().get { response.text }.isEqualTo("slow")
        // The closing listener resets connections that it never accepted. A request that the daemon has read must get its response.
        val forwarded = (back.server.received + spare.server.received).map { it.header("X-Attempt-Id") }
        expectThat(lost.filter { it in forwarded }).isEmpty()
    }

    /** Callers that ignore the readiness kept a request open at all times, and the last ones were cut at the end of the grace period. */
    @Test
    fun `a request accepted late in the shutdown is cut when the daemon ends`() {
        configure()
        val atWork = AtomicInteger()
        listOf(back, spare).forEach { vm ->
            vm.server.behaviour = { exchange ->
                atWork.incrementAndGet()
                thread {
                    Thread.sleep(900)
                    atWork.decrementAndGet()
                    exchange.respond(FakeServer.signed(exchange.request, 200, "done"))
                }
            }
        }
        val stopped = thread { front.stop() }
        val answers = ConcurrentLinkedQueue<HttpResult>()
        while (stopped.isAlive) {
            fleet.callAsync(front.callers, request("/book/more")) { answers += it }
            Thread.sleep(50)
        }
        expectThat(atWork.get()).isEqualTo(0)
        expectThat(answers.filterIsInstance<HttpResult.Answer>().map { it.response.status }.toSet()).isEqualTo(setOf(200, 503))
    }

    /** The response was handed to the connection, so its request no longer counted as open, and the process ended before it was sent. */
    @Test
    fun `a response that its caller reads slowly is cut when the daemon ends`() {
        configure()
        val text = "x".repeat(11_000_000)
        listOf(back, spare).forEach { vm -> vm.server.behaviour = { it.respond(FakeServer.signed(it.request, 200, text)) } }
        Socket(front.callers.host, front.callers.port).use { socket ->
            socket.getOutputStream().write(
                "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\n".encodeToByteArray(),
            )
            expectThat(socket.getInputStream().read()).isEqualTo('H'.code)
            val stopped = thread { front.stop() }
            // Without an open request the daemon ends after 2.5 s.
            stopped.join(4_000)
            expectThat(stopped.isAlive).isTrue()
            expectThat(socket.getInputStream().readAllBytes().count { it == 'x'.code.toByte() }).isEqualTo(text.length)
            stopped.join()
        }
    }

    @Test
    fun `a draining server receives no requests after its daemon has acknowledged the deregistration`() {
        configure()
        fleet.drain(back)
        val before = back.server.received.size
        repeat(30) { expectThat(status("/book/$it")).isEqualTo(200) }
        expectThat(back.server.received.size).isEqualTo(before)
    }

    /** A request was sent to a server from its queue more than the platform's drain time after its leaving was acknowledged. */
    @Test
    fun `a request that was queued when its server left reaches it after the drain time`() {
        MeshFleet(listOf("front", "back"), drainMs = 300).use { small ->
            val (entry, server) = small.vms[0].callers to small.vms[1].server
            small.configure(
                """{"version":"1","routes":[{"name":"book","host":"h","prefix":"/book/","kind":"idempotent","timeoutS":4,""" +
                    """"targetLatencyS":60,"priority":1,"service":"back","public":true}],"services":[{"name":"front"},{"name":"back"}]}""",
            )
            small.await("the fleet serves") { (small.call(entry, request("/book/1")) as? HttpResult.Answer)?.response?.status == 200 }
            val held = ConcurrentLinkedQueue<HttpExchange>()
            server.behaviour = { held += it }
            val answers = ConcurrentLinkedQueue<HttpResult>()
            repeat(REQUESTS) { small.callAsync(entry, request("/book/$it")) { answer -> answers += answer } }
            // One slot is left for health probes.
            small.await("the server is full") { held.size == MeshFleet.SLOTS - 1 }
            val receivedBefore = server.received.size
            small.drain(small.vms[1])
            Thread.sleep(400)
            held.forEach { it.respond(FakeServer.signed(it.request, 200, "done")) }
            small.await("all requests end") { answers.size == REQUESTS }
            expectThat(server.received.size).isEqualTo(receivedBefore)
        }
    }

    private companion object {
        /** More than a server takes at a time. */
        const val REQUESTS = MeshFleet.SLOTS + 5
    }
}
