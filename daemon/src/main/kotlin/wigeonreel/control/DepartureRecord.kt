package wigeonreel.control

import io.netty.channel.EventLoopGroup
import wigeonreel.kernel.Log
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.TableService
import java.util.concurrent.TimeUnit

/** Backend server that said at [recordedAtMs] that it leaves, with the time of its start if it named it. */
data class Departure(
    val instance: String,
    val startedAtMs: Long?,
    val recordedAtMs: Long,
)

/**
 * Latest departure of the backend server beside a daemon, kept in the store.
 *
 * A daemon that restarts between the acknowledgement and the server's end would otherwise take the server's next
 * heartbeat for that of a server that stays. Its functions belong to the thread of [loop].
 */
class DepartureRecord(
    private val loop: EventLoopGroup,
    private val table: TableService,
    daemon: String,
) {
    private val log = Log("departure")
    private val row = RowName("departures", daemon)

    /** Reads the record, again until the store answers; [onRead] gets the departure or null. */
    fun read(onRead: (Departure?) -> Unit) {
        table.read(row, 0) { result ->
            result.fold(
                { loop.schedule({ read(onRead) }, RETRY_MS, TimeUnit.MILLISECONDS) },
                { onRead((it as? RowRead.Found)?.row?.value?.let(::parse)) },
            )
        }
    }

    /** Writes the record, again until the store has it. */
    fun write(departure: Departure, attempts: Int = ATTEMPTS) {
        table.write(row, "${departure.recordedAtMs} ${departure.startedAtMs ?: ""} ${departure.instance}", null) { result ->
            result.onLeft {
                log.warn("the departure of ${departure.instance} is not stored: ${it.message}")
                if (attempts > 1) loop.schedule({ write(departure, attempts - 1) }, RETRY_MS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun parse(text: String): Departure? {
        val fields = text.split(' ', limit = FIELDS)
        val recordedAtMs = fields[0].toLongOrNull()
        if (fields.size == FIELDS && recordedAtMs != null) return Departure(fields[2], fields[1].toLongOrNull(), recordedAtMs)
        log.warn("the record of departures can't be read; it is ignored")
        return null
    }

    private companion object {
        const val FIELDS = 3

        /** Time between tries, in milliseconds. */
        const val RETRY_MS = 300L

        /** Tries to write; they cover the time for which a leaving server goes on serving. */
        const val ATTEMPTS = 30
    }
}
