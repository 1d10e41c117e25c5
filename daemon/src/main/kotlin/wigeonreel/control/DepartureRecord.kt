package wigeonreel.control

import io.netty.channel.EventLoopGroup
import wigeonreel.kernel.Log
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.TableService
import java.util.concurrent.TimeUnit

/** Departure of a backend server, announced by it at [recordedAtMs]; [startedAtMs] is its start time if it was given. */
data class Departure(
    val instance: String,
    val startedAtMs: Long?,
    val recordedAtMs: Long,
)

/**
 * Latest departure of the local backend server, persisted in the store and written again after a restore.
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

    /** Reads the record, retrying until the store answers; [onRead] gets the departure, or null if there is none. */
    fun read(onRead: (Departure?) -> Unit) {
        table.read(name, null) { result ->
            result.fold(
                { loop.schedule({ read(onRead) }, RETRY_DELAY_MS, TimeUnit.MILLISECONDS) },
                {
                    onRead(
                        (it as? RowRead.Found)
                            ?.row
                            ?.value
                            ?.also(row::adopt)
                            ?.let(::parse),
                    )
                },
            )
        }
    }

    /** Writes the record, with up to [MAX_WRITE_ATTEMPTS] attempts until the store confirms it. */
    fun write(departure: Departure) = row.write("${departure.recordedAtMs} ${departure.startedAtMs ?: ""} ${departure.instance}")

    private fun parse(text: String): Departure? {
        val fields = text.split(' ', limit = FIELD_COUNT)
        val recordedAtMs = fields[0].toLongOrNull()
        if (fields.size == FIELD_COUNT && recordedAtMs != null) return Departure(fields[2], fields[1].toLongOrNull(), recordedAtMs)
        log.warn("invalid departure record ignored")
        return null
    }

    private companion object {
        const val FIELD_COUNT = 3

        /** Delay between attempts. */
        const val RETRY_DELAY_MS = 300L

        /** Maximum number of write attempts; with their delays they cover the time for which a departing server keeps serving. */
        const val MAX_WRITE_ATTEMPTS = 30
    }
}
