package wigeonreel.standin

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult

/** Tests what a daemon still knows of its server after it was started again. */
class MeshRestartTest {
    /** Fleet of an entry and a server whose reports are those of a case. */
    private class Drill(
        val fleet: MeshFleet,
    ) {
        private val entry = fleet.vms[0]
        private val home = fleet.vms[1]
        private var requests = 0

        fun ready(instance: String, startedAtMs: Long?) = fleet.report(home, instance, "ready", startedAtMs)

        fun draining(instance: String, startedAtMs: Long?) = fleet.report(home, instance, "draining", startedAtMs)

        fun deregister(instance: String, startedAtMs: Long?) = fleet.deregister(home, instance, startedAtMs)

        fun status(): Int? {
            val headers = listOf(HttpHeader("Host", "h"), HttpHeader("X-Attempt-Id", "a${++requests}"))
            return (fleet.call(entry.callers, HttpRequest("POST", "/book/1", headers)) as? HttpResult.Answer)?.response?.status
        }

        fun awaitServed() = fleet.await("the server gets requests") { status() == OK }

        fun restart() = home.restart()
    }

    private class Case(
        val name: String,
        val late: Pair<String, Long?>,
        val steps: Drill.() -> Unit,
    )

    private val cases =
        listOf(
            Case("one departure", "i-a" to 100) {
                deregister("i-a", 100)
            },
            Case("second departure of an id", "i-a" to 200) {
                deregister("i-a", 100)
                ready("i-a", 200)
                deregister("i-a", 200)
            },
            Case("second departure of an id, announced as draining", "i-a" to 200) {
                draining("i-a", 100)
                ready("i-a", 200)
                draining("i-a", 200)
            },
            Case("second departure of an id, by a server that tells its start only in its heartbeats", "i-a" to 200) {
                deregister("i-a", null)
                ready("i-a", 200)
                deregister("i-a", null)
            },
            Case("third departure of an id after one of another", "i-a" to 900) {
                deregister("i-a", 100)
                ready("i-b", 500)
                deregister("i-b", 500)
                ready("i-a", 900)
                deregister("i-a", 900)
            },
            Case("the first departure is repeated after the second", "i-a" to 200) {
                deregister("i-a", 100)
                ready("i-a", 200)
                deregister("i-a", 200)
                deregister("i-a", 100)
            },
            Case("the departure of an earlier server is repeated after that of a later one", "i-b" to 200) {
                deregister("i-a", 100)
                ready("i-b", 200)
                deregister("i-b", 200)
                deregister("i-a", 100)
            },
            Case("heartbeat of the first start after the second departure", "i-a" to 100) {
                deregister("i-a", 100)
                ready("i-a", 200)
                deregister("i-a", 200)
            },
        )

    /** The second departure of a server under the same id was never stored, so a restarted daemon sent requests to a server that had left. */
    @TestFactory
    fun `a late heartbeat after a restart makes a server ready that has left`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                MeshFleet(listOf("front", "back")).use { fleet ->
                    fleet.silence(fleet.vms[1])
                    fleet.configure(CONFIGURATION)
                    val drill = Drill(fleet)
                    drill.ready("i-a", 100)
                    drill.awaitServed()
                    drill.apply(case.steps)
                    drill.restart()
                    drill.ready(case.late.first, case.late.second)
                    repeat(20) {
                        expectThat(drill.status()).isEqualTo(UNAVAILABLE)
                        Thread.sleep(50)
                    }
                    drill.ready("i-new", 1_000)
                    drill.awaitServed()
                }
            }
        }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val CONFIGURATION =
            """{"version":"1","routes":[{"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeoutS":4,""" +
                """"targetLatencyS":2,"priority":1,"service":"back","public":true}],"services":[{"name":"front"},{"name":"back"}]}"""
    }
}
