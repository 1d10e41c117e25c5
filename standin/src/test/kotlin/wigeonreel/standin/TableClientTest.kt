package wigeonreel.standin

import arrow.core.Either
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import wigeonreel.http.eventLoop
import wigeonreel.platform.HttpTableService
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.RowWrite
import wigeonreel.store.StoreError
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

    private fun write(value: String, expected: Long?): Either<StoreError, RowWrite> = result { table.write(name, value, expected, it) }

    private fun read(known: Long = 0): Either<StoreError, RowRead> = result { table.read(name, known, it) }

    private fun watch(after: Long, waitMs: Long = 100): Either<StoreError, TableChanges> = result { table.watch("t", after, waitMs, it) }

    private fun fault(mode: String) =
        result<HttpResult> { done ->
            connector.send(address, HttpRequest("GET", "/_fault?mode=$mode&ms=600"), 1_000) {
                done(it)
            }
        }

    @Test
    fun `rows are written conditionally and read back`() {
        expectThat(read().getOrNull()).isA<RowRead.Absent>()
        val first = write("one", 0).getOrNull()
        expectThat(first).isA<RowWrite.Written>()
        expectThat(write("two", 0).getOrNull()).isA<RowWrite.Conflict>()
        val found = read().getOrNull()
        expectThat(found).isA<RowRead.Found>().get { row.value }.isEqualTo("one")
        expectThat(read((found as RowRead.Found).row.version).getOrNull()).isA<RowRead.Unchanged>()
    }

    @Test
    fun `a watch returns changes, an empty result after its wait time, or a discarded history`() {
        val version = (write("one", null).getOrNull() as RowWrite.Written).version
        expectThat(watch(0).getOrNull()).isA<TableChanges.Available>().get { rows.single().value }.isEqualTo("one")
        expectThat(watch(version).getOrNull()).isA<TableChanges.Available>().get { rows.size }.isEqualTo(0)
        write("two", null)
        fault("forget")
        expectThat(watch(version).getOrNull()).isEqualTo(TableChanges.Forgotten)
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
