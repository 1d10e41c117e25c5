package wigeonreel.control

import arrow.core.Either
import arrow.core.right
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import wigeonreel.codec.encode
import wigeonreel.membership.GossipKind
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.membership.PeerAddress
import wigeonreel.place.Place
import wigeonreel.store.Row
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.RowWrite
import wigeonreel.store.StoreEras
import wigeonreel.store.StoreError
import wigeonreel.store.StoreVersion
import wigeonreel.store.TableChanges
import wigeonreel.store.TablePage
import wigeonreel.store.TableService
import java.util.Base64

class MemberRegistryTest {
    /** Table service that only scans [rows], in the order of their names. */
    private class Rows(
        val rows: List<Row>,
    ) : TableService {
        override fun scan(table: String, after: String, limit: Int, onResult: (Either<StoreError, TablePage>) -> Unit) {
            val page = rows.filter { it.name.row > after }.sortedBy { it.name.row }
            onResult(
                TablePage(
                    page.take(limit),
                    page
                        .take(limit)
                        .lastOrNull()
                        ?.name
                        ?.row
                        .takeIf { page.size > limit },
                ).right(),
            )
        }

        override val eras = StoreEras()

        override fun read(name: RowName, knownVersion: StoreVersion?, onResult: (Either<StoreError, RowRead>) -> Unit) = Unit

        override fun write(
            name: RowName,
            value: String,
            expectedVersion: StoreVersion?,
            onResult: (Either<StoreError, RowWrite>) -> Unit,
        ) = Unit

        override fun delete(name: RowName, onResult: (Either<StoreError, Unit>) -> Unit) = Unit

        override fun watch(table: String, version: StoreVersion, waitMs: Long, onResult: (Either<StoreError, TableChanges>) -> Unit) = Unit
    }

    private fun member(id: String, port: Int = 7_000, host: String = "127.0.0.1", startedAtMs: Long = 5) =
        Member.starting(id, startedAtMs, PeerAddress(host, port), Place("r", "z"))

    private fun encode(member: Member) = encode(GossipMessage(GossipKind.NEWS, 0, member).encode())

    private fun encode(bytes: ByteArray) = Base64.getEncoder().encodeToString(bytes)

    private fun row(id: String, value: String) = Row(RowName("daemons", id), StoreVersion(1, 1), value)

    @TestFactory
    fun `a row of another program keeps the daemons from being read`() =
        mapOf(
            "port out of range" to encode(member("odd", port = 70_000)),
            "host name" to encode(member("odd", host = "no.such.host.example")),
            "start time too large" to encode(member("odd", startedAtMs = Long.MAX_VALUE)),
            "id of another daemon" to encode(member("d1")),
            "not base64" to "{\"port\":",
            "not a message" to encode("[[[[[[".encodeToByteArray()),
            "deeply nested" to encode(ByteArray(60_000) { if (it % 2 == 0) 0xA3.toByte() else 0x06 }),
            "empty" to "",
        ).map { (name, value) ->
            DynamicTest.dynamicTest(name) {
                val rows = listOf(row("d1", encode(member("d1"))), row("odd", value), row("d2", encode(member("d2"))))
                expectThat(idsIn(rows)).isEqualTo(listOf("d1", "d2"))
            }
        }

    @Test
    fun `live daemons behind a thousand rows of dead ones are not found`() {
        val dead = List(1_000) { "dead-${it.toString().padStart(4, '0')}" }
        expectThat(idsIn((dead + "live").map { row(it, encode(member(it))) })).contains("live").hasSize(1_001)
    }

    private fun idsIn(rows: List<Row>): List<String> {
        val found = mutableListOf<String>()
        var complete = false
        MemberRegistry(Rows(rows)).readSeeds { seeds, last ->
            found += seeds.map { it.id }
            complete = last
        }
        expectThat(complete).isTrue()
        return found
    }
}
