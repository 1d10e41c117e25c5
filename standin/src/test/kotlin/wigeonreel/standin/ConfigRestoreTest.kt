package wigeonreel.standin

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import wigeonreel.control.ConfigRepository
import wigeonreel.daemon.SYSTEM_CLOCK
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.eventLoop
import wigeonreel.platform.HttpTableService
import wigeonreel.platform.OPERATOR_FORMAT
import wigeonreel.store.RowName
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Tests [ConfigRepository] against a [TableStandin] that comes back from a copy. */
class ConfigRestoreTest {
    private val loop = eventLoop("test")

    /** Store that an operator and other writers write to, and the configuration of one daemon that watches it. */
    private inner class Drill {
        private val address = HttpAddress("127.0.0.1", freePort())
        private val store = TableStandin(loop)
        private val table = HttpTableService(HttpConnector(loop), address, 1_000)
        private val repository =
            ConfigRepository(HttpTableService(HttpConnector(loop), address, 1_000), SYSTEM_CLOCK, OPERATOR_FORMAT) {}
        private val listener = HttpListener("store", loop, address.host, address.port, HttpLimits(), store).also { it.start() }

        fun configure(version: Long) =
            write(OPERATOR_FORMAT.row, """{"version":"${version.toString(16)}","routes":[],"services":[{"name":"s$version"}]}""")

        fun write(row: RowName, value: String = "x") {
            val done = CompletableFuture<Boolean>()
            loop.execute { table.write(row, value, null) { done.complete(it.isRight()) } }
            expectThat(done.get(TIMEOUT_S, TimeUnit.SECONDS)).isTrue()
        }

        fun takeCopy() = loop.submit { store.takeCopy() }.sync()

        fun restore() = loop.submit { store.restore() }.sync()

        fun poll() {
            val done = CompletableFuture<Boolean>()
            loop.execute { repository.poll { done.complete(it) } }
            expectThat(done.get(TIMEOUT_S, TimeUnit.SECONDS)).isTrue()
        }

        /** Watches until the service of [version] is in force, or until the time has run out. */
        fun watchUntil(version: Long) {
            val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
            while (inForce() != version && System.nanoTime() < untilNs) {
                loop.submit { repository.ensureWatching(SYSTEM_CLOCK.nowMs()) }.sync()
                Thread.sleep(10)
            }
        }

        fun inForce(): Long = loop.submit<Long> { repository.replica.current.version }.get()

        fun close() = listener.stop()
    }

    private class Case(
        val name: String,
        val steps: Drill.() -> Unit,
        val inForce: Long,
    )

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
    }

    /** No daemon applied a configuration to which the restored store gave the row version that the daemons knew: a withdrawn key was used. */
    @TestFactory
    fun `a configuration is never applied after the store was restored from a copy`() =
        listOf(
            Case("two changes lost, one written again", {
                configure(3)
                poll()
                takeCopy()
                listOf(6L, 7L).forEach { configure(it) }
                poll()
                restore()
                listOf(7L, 9L).forEach { configure(it) }
                poll()
            }, 9),
            Case("one change lost, none written again", {
                takeCopy()
                configure(3)
                poll()
                restore()
                configure(4)
                poll()
            }, 4),
            Case("another row took a lost version", {
                configure(3)
                takeCopy()
                write(OTHER_ROW)
                configure(6)
                poll()
                restore()
                configure(6)
                configure(8)
                poll()
            }, 8),
            Case("restored twice, known since the first time", {
                takeCopy()
                configure(3)
                poll()
                restore()
                configure(3)
                poll()
                restore()
                configure(5)
                poll()
            }, 5),
            Case("a watch that was open goes on", {
                configure(3)
                takeCopy()
                configure(6)
                write(OTHER_ROW)
                watchUntil(6)
                restore()
                configure(9)
                watchUntil(9)
            }, 9),
            Case("a watch after a version that is assigned again to another row", {
                configure(3)
                takeCopy()
                configure(6)
                watchUntil(6)
                restore()
                configure(9)
                write(OTHER_ROW)
                watchUntil(9)
            }, 9),
            Case("the copy is older than any configuration", {
                takeCopy()
                configure(3)
                watchUntil(3)
                restore()
                configure(3)
                configure(4)
                watchUntil(4)
            }, 4),
            Case("an older configuration until the operator writes again", {
                configure(3)
                takeCopy()
                configure(6)
                poll()
                restore()
                poll()
            }, 6),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val drill = Drill()
                drill.apply(case.steps)
                expectThat(drill.inForce()).isEqualTo(case.inForce)
                drill.close()
            }
        }

    private companion object {
        const val TIMEOUT_S = 15L
        val OTHER_ROW = RowName("op", "other")
    }
}
