package wigeonreel.standin

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Tests over real sockets what becomes of a request whose first server answers late, after another one was asked. */
class MeshSlowAnswerTest {
    private val ids = AtomicInteger()

    private fun MeshFleet.send(): Int {
        val headers = listOf(HttpHeader("Host", "h"), HttpHeader("X-Attempt-Id", "s${ids.incrementAndGet()}"))
        return (call(vms[0].callers, HttpRequest("GET", "/read/x", headers)) as? HttpResult.Answer)?.response?.status ?: 0
    }

    private fun MeshFleet.settle() {
        configure(
            """{"version":"1","routes":[{"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeoutS":3,""" +
                """"targetLatencyS":1,"priority":1,"service":"back","attempts":2,"public":true}],"services":[{"name":"front"},{"name":"back"}]}""",
        )
        await("the service answers") { send() == OK }
        await("the service times of both servers are settled") {
            send()
            vms.drop(1).all { it.server.received.size > SETTLED_READS }
        }
    }

    private class OtherServer(
        val name: String,
        val answer: (HttpExchange) -> Unit,
    )

    /** The other server's refusal came before the first server's own failure, or after it. */
    private val refusing = OtherServer("refuses") { it.respond(HttpResponse(503, idOf(it) + HttpHeader("X-Not-Executed", "1"))) }
    private val refusingLater =
        OtherServer("refuses later") { exchange ->
            thread {
                Thread.sleep(LATE_ANSWER_MS)
                refusing.answer(exchange)
            }
        }

    /** The first server was still at work, but its request was cancelled, and the failure of the other one became the answer. */
    @TestFactory
    fun `a slow answer is lost because the next server fails`() =
        listOf(
            refusing,
            OtherServer("fails") { it.respond(FakeServer.signed(it.request, 500, "failed")) },
            OtherServer("never answers") { },
        ).map { statusOfLateAnswer(OK, it) }

    /** The other server's refusal became 502 outcome unknown in place of the first server's own answer (soak seed 951). */
    @TestFactory
    fun `a slow failure is replaced because the next server refuses`() =
        listOf(refusing, refusingLater).map { statusOfLateAnswer(FAILED, it) }

    /** Checks that the late answer of the first server reaches the caller with its [status]. */
    private fun statusOfLateAnswer(status: Int, other: OtherServer) =
        DynamicTest.dynamicTest("the other server ${other.name}") {
            MeshFleet(listOf("front", "back", "back")).use { fleet ->
                fleet.settle()
                val runs = AtomicInteger()
                fleet.vms.drop(1).forEach { vm ->
                    vm.server.behaviour = { if (runs.incrementAndGet() > 1) other.answer(it) else answerLate(it, status) }
                }
                expectThat(fleet.send()).isEqualTo(status)
                expectThat(runs.get()).isEqualTo(2)
            }
        }

    private fun idOf(exchange: HttpExchange) = listOf(HttpHeader("X-Attempt-Id", exchange.request.header("X-Attempt-Id").orEmpty()))

    private fun answerLate(exchange: HttpExchange, status: Int) =
        thread {
            Thread.sleep(LATE_ANSWER_MS)
            exchange.respond(FakeServer.signed(exchange.request, status, "late"))
        }

    private companion object {
        const val OK = 200
        const val FAILED = 500

        /** Between the time at which another server is asked and the request's deadline. */
        const val LATE_ANSWER_MS = 1_500L

        /** Requests after which a daemon reports its server's mean service time. */
        const val SETTLED_READS = 10
    }
}
