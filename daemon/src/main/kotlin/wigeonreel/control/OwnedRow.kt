package wigeonreel.control

import io.netty.channel.EventLoopGroup
import wigeonreel.kernel.Log
import wigeonreel.store.RowName
import wigeonreel.store.StoreError
import wigeonreel.store.TableService
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

/**
 * Row of the store that only this daemon writes, and writes again after the store was restored without it.
 *
 * Not thread-safe: used on [loop] only.
 *
 * @param retryDelayMs delay between the attempts of one write, in milliseconds.
 * @param maxAttempts maximum number of attempts of one write.
 */
class OwnedRow(
    private val loop: EventLoopGroup,
    private val table: TableService,
    private val name: RowName,
    private val retryDelayMs: Long,
    private val maxAttempts: Int = Int.MAX_VALUE,
) {
    private val log = Log("row")
    private var value: String? = null
    private var onWritten: () -> Unit = {}

    /** Number of the latest write; the results and retries of earlier ones are ignored. */
    private var latestWrite = 0

    init {
        table.eras.onRestore { if (value != null) writeAgain() }
    }

    /** Writes [next] until the store confirms it, then calls [onWritten]; replaces an earlier value that is not confirmed yet. */
    fun write(next: String, onWritten: () -> Unit = {}) {
        value = next
        this.onWritten = onWritten
        attempt(++latestWrite, maxAttempts)
    }

    /** Takes over the value [stored] by an earlier process, which is written again after the next restore. */
    fun adopt(stored: String) {
        if (value == null) value = stored
    }

    /** Deletes the row for good and calls [onEnd], also after a failure. */
    fun delete(onEnd: () -> Unit) {
        value = null
        latestWrite++
        table.delete(name) { result ->
            result.onLeft { log.info("row $name not deleted: ${it.message}") }
            onEnd()
        }
    }

    /** Spreads the writes of the fleet over [RESTORE_SPREAD_MS]. */
    private fun writeAgain() {
        log.info("the store was restored from a copy; row $name is written again")
        val write = ++latestWrite
        loop.schedule({ attempt(write, maxAttempts) }, ThreadLocalRandom.current().nextLong(RESTORE_SPREAD_MS), TimeUnit.MILLISECONDS)
    }

    private fun attempt(write: Int, attemptsLeft: Int) {
        val text = value ?: return
        if (write != latestWrite) return
        table.write(name, text, null) { result ->
            if (write == latestWrite) result.fold({ onFailure(write, attemptsLeft - 1, it) }, { onWritten() })
        }
    }

    private fun onFailure(write: Int, attemptsLeft: Int, error: StoreError) {
        if (attemptsLeft == 0) return log.warn("row $name not written, given up: ${error.message}")
        log.info("row $name not written yet: ${error.message}")
        loop.schedule({ attempt(write, attemptsLeft) }, retryDelayMs, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Time over which the daemons of a fleet spread their writes after a restore, in milliseconds. */
        const val RESTORE_SPREAD_MS = 500L
    }
}
