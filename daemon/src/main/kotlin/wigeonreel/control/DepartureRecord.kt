package wigeonreel.control

import io.netty.channel.EventLoopGroup
import wigeonreel.backend.Departure
import wigeonreel.kernel.Log
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.TableService
import java.util.concurrent.TimeUnit

/**
 * Latest departures of the local backend servers, persisted in the store and written again after a restore.
 *
 * Without the record, a daemon that restarts between acknowledging the departure and the exit of the server would read the
 * server's next heartbeat as a sign that the server is not leaving. Not thread-safe: used on [loop] only.
 */
class DepartureRecord(
    private val loop: EventLoopGroup,
    private val table: TableService,
    daemon: String,
) {
    private val log = Log("departure")
    private val name = RowName("departures", daemon)
    private val row = OwnedRow(loop, table, name, RETRY_DELAY_MS, MAX_WRITE_ATTEMPTS)

    /** Reads the record, retrying until the store answers; [onRead] gets the departures, none if nothing is stored. */
    fun read(onRead: (List<Departure>) -> Unit) {
        table.read(name, null) { result ->
            result.fold({ loop.schedule({ read(onRead) }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS) }, { onRead(departuresOf(it)) })
        }
    }

    /** Writes the record, with up to [MAX_WRITE_ATTEMPTS] attempts until the store confirms it. */
    fun write(departures: List<Departure>) = row.write(departures.joinToString("\n") { "${it.lastStartedAtMs} ${it.instance}" })

    private fun departuresOf(read: RowRead): List<Departure> {
        val stored = (read as? RowRead.Found)?.row?.value ?: return emptyList()
        row.adopt(stored)
        return stored.lines().mapNotNull { parse(it) }
    }

    private fun parse(line: String): Departure? {
        val lastStartedAtMs = line.substringBefore(' ').toLongOrNull()
        val instance = line.substringAfter(' ', "")
        if (lastStartedAtMs != null && instance.isNotEmpty()) return Departure(instance, lastStartedAtMs)
        log.warn("invalid departure '${line.take(LOGGED_CHARS)}' ignored; another program wrote it")
        return null
    }

    private companion object {
        const val LOGGED_CHARS = 100

        /** Delay between attempts. */
        const val RETRY_DELAY_MS = 300L

        /** Maximum number of write attempts; with their delays they cover the time for which a departing server keeps serving. */
        const val MAX_WRITE_ATTEMPTS = 30
    }
}
