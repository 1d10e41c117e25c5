package wigeonreel.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import wigeonreel.codec.decodeGossip
import wigeonreel.codec.encode
import wigeonreel.kernel.Log
import wigeonreel.membership.GossipKind
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.store.Row
import wigeonreel.store.RowName
import wigeonreel.store.TableService
import java.util.Base64

/** Registry of daemons in the table service, in which a starting daemon finds its seed peers. */
class MemberRegistry(
    private val table: TableService,
) {
    private val log = Log("registry")
    private val skippedRows = LinkedHashSet<RowName>()

    /**
     * Reads all announcements page by page, since those of live daemons may stand behind those of many dead ones.
     *
     * [onSeeds] receives each page, and whether it is the last one; after a failed read it is not called again.
     */
    fun readSeeds(after: String = "", onSeeds: (List<Member>, Boolean) -> Unit): Unit =
        table.scan(TABLE, after, PAGE_ROWS) { result ->
            result.fold({ log.info("seeds not read: ${it.message}") }, { page ->
                val next = page.next
                onSeeds(page.rows.mapNotNull { it.toMember() }, next == null)
                if (next != null) readSeeds(next, onSeeds)
            })
        }

    /** Returns null for a row that another program wrote, which must not keep the others from being read. */
    private fun Row.toMember(): Member? =
        decodeBase64(value)
            .flatMap { bytes -> decodeGossip(bytes).mapLeft { it.reason } }
            .map { it.sender }
            .flatMap { if (it.id == name.row) it.right() else "it announces ${it.id}".left() }
            .onLeft { logSkipped(name, it) }
            .getOrNull()

    private fun decodeBase64(text: String): Either<String, ByteArray> =
        Either.catchOrThrow<IllegalArgumentException, ByteArray> { Base64.getDecoder().decode(text) }.mapLeft { "not base64" }

    private fun logSkipped(row: RowName, reason: String) {
        if (skippedRows.size < MAX_LOGGED_ROWS && skippedRows.add(row)) log.warn("row $row skipped: $reason; another program wrote it")
    }

    companion object {
        /** Returns the row of the daemon [id]. */
        fun rowOf(id: String): RowName = RowName(TABLE, id)

        /** Returns the text of [member]'s row. */
        fun announcementOf(member: Member): String = Base64.getEncoder().encodeToString(GossipMessage(GossipKind.NEWS, 0, member).encode())

        private const val TABLE = "daemons"

        /** Maximum number of rows that the store returns in one answer. */
        private const val PAGE_ROWS = 500

        /** Maximum number of invalid rows that are logged, once each. */
        private const val MAX_LOGGED_ROWS = 100
    }
}
