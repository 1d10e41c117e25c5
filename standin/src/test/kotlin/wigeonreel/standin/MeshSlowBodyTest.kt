package wigeonreel.standin

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import java.net.Socket

/** Tests over real sockets how long servers may work on a request whose body arrives slowly. */
class MeshSlowBodyTest {
    private val fleet = MeshFleet(listOf("front"))
    private val front = fleet.vms.single()

    @BeforeEach
    fun start() {
        fleet.configure(
            """{"version":"1","routes":[{"name":"up","host":"h","prefix":"/up/","kind":"upload","timeoutS":4,"targetLatencyS":1,""" +
                """"priority":1,"service":"front","public":true}],"services":[{"name":"front"}]}""",
        )
        val request = HttpRequest("POST", "/up/x", listOf(HttpHeader("Host", "h"), HttpHeader("X-Attempt-Id", "first")))
        fleet.await("the service answers") { (fleet.call(front.callers, request) as? HttpResult.Answer)?.response?.status == 200 }
        front.server.received.clear()
    }

    @AfterEach
    fun stop() = fleet.close()

    /** Sends a request with a pause in its body, and returns the status of the response. */
    private fun send(pauseMs: Long): Int =
        Socket(front.callers.host, front.callers.port).use { socket ->
            val output = socket.getOutputStream()
            val head = "POST /up/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: $DEADLINE_MS\r\nContent-Length: 8\r\n\r\n"
            output.write("${head}half".encodeToByteArray())
            Thread.sleep(pauseMs)
            output.write("half".encodeToByteArray())
            val statusLine = socket.getInputStream().bufferedReader().readLine()
            statusLine.split(' ')[1].toInt()
        }

    /** The time that the caller had waited while its body arrived was given to the server once more. */
    @TestFactory
    fun `a server is given more time than the caller has left`() =
        listOf(0L, 700L, 1_000L).map { pauseMs ->
            DynamicTest.dynamicTest("pause of $pauseMs ms") {
                front.server.received.clear()
                expectThat(send(pauseMs)).isEqualTo(200)
                val givenMs =
                    front.server.received
                        .single()
                        .header("X-Deadline-Ms")!!
                        .toLong()
                expectThat(givenMs).isLessThanOrEqualTo(minOf(DEADLINE_MS, DEADLINE_MS - pauseMs + TOLERANCE_MS))
            }
        } +
            DynamicTest.dynamicTest("the caller has no time left") {
                front.server.received.clear()
                expectThat(send(DEADLINE_MS + TOLERANCE_MS)).isEqualTo(503)
                expectThat(front.server.received).isEmpty()
            }

    private companion object {
        const val DEADLINE_MS = 1_500L

        /** The platform's tolerance; the time counts from when the head arrives, which the caller can't see. */
        const val TOLERANCE_MS = 500L
    }
}
