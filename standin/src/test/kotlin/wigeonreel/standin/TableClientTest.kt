package wigeonreel.standin

import arrow.core.Either
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import wigeonreel.http.eventLoop
import wigeonreel.http.jsonResponse
import wigeonreel.http.textResponse
import wigeonreel.platform.HttpTableService
import wigeonreel.platform.STORE_ERA_HEADER
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.RowWrite
import wigeonreel.store.StoreError
import wigeonreel.store.StoreVersion
import wigeonreel.store.TableChanges
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Tests [HttpTableService] against [TableStandin] and its injected faults. */
class TableClientTest {
    private val loop = eventLoop("test")
    private val address = HttpAddress("127.0.0.1", freePort())
    private val connector = HttpConnector(loop)
    private val table = HttpTableService(connector, address, 400)
    private val name = RowName("t", "a b/ü")

    init {
        HttpListener("store", loop, address.host, address.port, HttpLimits(), TableStandin(loop)).start()
    }

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
    }

    private fun <T> result(call: (onResult: (T) -> Unit) -> Unit): T {
        val done = CompletableFuture<T>()
        loop.execute { call { done.complete(it) } }
        return done.get(10, TimeUnit.SECONDS)
    }

    private fun write(value: String, expected: StoreVersion?): Either<StoreError, RowWrite> =
        result { table.write(name, value, expected, it) }

    private fun read(known: StoreVersion? = null): Either<StoreError, RowRead> = result { table.read(name, known, it) }

    private fun watch(after: StoreVersion, waitMs: Long = 100): Either<StoreError, TableChanges> =
        result {
            table.watch("t", after, waitMs, it)
        }

    private fun fault(mode: String) =
        result<HttpResult> { done ->
            connector.send(address, HttpRequest("GET", "/_fault?mode=$mode&ms=600"), 1_000) {
                done(it)
            }
        }

    @Test
    fun `rows are written conditionally and read back`() {
        expectThat(read().getOrNull()).isA<RowRead.Absent>()
        val first = write("one", StoreVersion.ABSENT).getOrNull()
        expectThat(first).isA<RowWrite.Written>()
        expectThat(write("two", StoreVersion.ABSENT).getOrNull()).isA<RowWrite.Conflict>()
        val found = read().getOrNull()
        expectThat(found).isA<RowRead.Found>().get { row.value }.isEqualTo("one")
        expectThat(read((found as RowRead.Found).row.version).getOrNull()).isA<RowRead.Unchanged>()
    }

    @Test
    fun `a watch returns changes, an empty result after its wait time, or a discarded history`() {
        val version = (write("one", null).getOrNull() as RowWrite.Written).version
        expectThat(watch(version.copy(number = 0)).getOrNull()).isA<TableChanges.Available>().get { rows.single().value }.isEqualTo("one")
        expectThat(watch(version).getOrNull()).isA<TableChanges.Available>().get { rows.size }.isEqualTo(0)
        write("two", null)
        fault("forget")
        expectThat(watch(version).getOrNull()).isEqualTo(TableChanges.Forgotten)
    }

    private fun valueOf(read: Either<StoreError, RowRead>) = (read.getOrNull() as? RowRead.Found)?.row?.value

    /** The restored store gave the version of a lost row to another value, and the reader took that for what it had read before. */
    @TestFactory
    fun `a version of a restored store is compared with one of before`() =
        mapOf<String, (StoreVersion) -> Unit>(
            "read" to { known -> expectThat(valueOf(read(known))).isEqualTo("new") },
            "watch" to { known -> expectThat(watch(known).getOrNull()).isEqualTo(TableChanges.Forgotten) },
            "write that shows the restore" to { known ->
                expectThat(write("over", known).leftOrNull()).isA<StoreError.InDoubt>()
            },
            "write after the restore is known" to { known ->
                read()
                expectThat(write("over", known).getOrNull()).isEqualTo(RowWrite.Conflict(null))
                expectThat(valueOf(read())).isEqualTo("new")
            },
            "write of an absent row after the restore is known" to {
                read()
                expectThat(write("over", StoreVersion.ABSENT).getOrNull()).isA<RowWrite.Conflict>()
            },
        ).map { (name, check) ->
            DynamicTest.dynamicTest(name) {
                fault("copy")
                write("lost", null)
                val known = (read().getOrNull() as RowRead.Found).row.version
                fault("restore")
                otherWriter("new")
                check(known)
            }
        }

    /** Writes the row with a client of its own, so that the tested one gets no answer of the store. */
    private fun otherWriter(value: String) {
        val other = HttpTableService(connector, address, 400)
        result<Either<StoreError, RowWrite>> { other.write(name, value, null, it) }
    }

    @TestFactory
    fun `a row is taken for unchanged although its era differs or can't be read`() =
        mapOf(
            "none in both" to (null to null) to true,
            "the same" to ("3" to "3") to true,
            "the next" to ("3" to "4") to false,
            "lower" to ("3" to "2") to false,
            "missing" to ("3" to null) to false,
            "not a number" to ("x" to "x") to false,
            "negative" to ("-1" to null) to false,
            "too large" to ("9".repeat(30) to "9".repeat(30)) to false,
            "empty" to ("" to "") to false,
        ).map { (case, isUnchanged) ->
            DynamicTest.dynamicTest(case.first) {
                val server = HttpAddress("127.0.0.1", freePort())
                val store = FixedRow(name, ArrayDeque(case.second.toList()))
                val listener = HttpListener("fixed", loop, server.host, server.port, HttpLimits(), store)
                listener.start()
                val client = HttpTableService(connector, server, 400)
                val first = result<Either<StoreError, RowRead>> { client.read(name, null, it) }.getOrNull() as RowRead.Found
                val second = result<Either<StoreError, RowRead>> { client.read(name, first.row.version, it) }.getOrNull()
                expectThat(second is RowRead.Unchanged).isEqualTo(isUnchanged)
                listener.stop()
            }
        }

    /** Store that answers each read with the same row and the next of [eras]. */
    private class FixedRow(
        private val name: RowName,
        private val eras: ArrayDeque<String?>,
    ) : HttpHandler {
        override fun handle(exchange: HttpExchange) {
            val body = """{"rows":[{"table":"${name.table}","key":"${name.row}","value":"eA==","ver":7}],"ver":7}"""
            exchange.respond(jsonResponse(200, body, listOfNotNull(eras.removeFirst()?.let { HttpHeader(STORE_ERA_HEADER, it) })))
        }

        override fun reject(fault: HttpFault) = textResponse(400, fault.name)
    }

    @Test
    fun `an outage is reported as unavailable, a missing response as in doubt`() {
        fault("outage")
        expectThat(write("x", null).leftOrNull()).isA<StoreError.Unavailable>()
        fault("busy")
        expectThat(read().leftOrNull()).isA<StoreError.Unavailable>()
        fault("silent")
        expectThat(read().leftOrNull()).isA<StoreError.InDoubt>()
        fault("lose-answers")
        expectThat(write("kept", null).leftOrNull()).isA<StoreError.InDoubt>()
        fault("none")
        expectThat(read().getOrNull()).isA<RowRead.Found>().get { row.value }.isEqualTo("kept")
    }
}
