package wigeonreel.kernel

import org.jctools.queues.MpscArrayQueue
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/**
 * Structured log with one JSON object per line, written by a dedicated thread.
 *
 * Callers never block: when the queue is full, lines are dropped and counted, and a `log-dropped` event reports the count.
 *
 * @param capacity maximum number of queued lines.
 * @param sink receives one or more lines at a time; called only by the writer thread.
 */
class EventLog(
    capacity: Int = DEFAULT_CAPACITY,
    private val sink: (String) -> Unit = { Logger.info(it) },
) : Service {
    override val name = "event-log"
    private val queue = MpscArrayQueue<String>(capacity)
    private val droppedLines = AtomicLong()
    private var reported = 0L

    @Volatile
    private var running = true
    private val writer = Thread(::run, "event-log").apply { isDaemon = true }

    /** Lines dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    override fun start() = writer.start()

    override fun stop() {
        running = false
        LockSupport.unpark(writer)
        writer.join(STOP_TIMEOUT_MS)
    }

    /** Queues the event [event] at [nowMs] with its [fields]; never blocks. */
    fun write(event: String, nowMs: Long, fields: EventLine.() -> Unit = {}) {
        val line = EventLine(event, nowMs).apply(fields).finish()
        if (!queue.offer(line)) droppedLines.incrementAndGet()
    }

    private fun run() {
        while (running) {
            drain()
            LockSupport.parkNanos(POLL_INTERVAL_NS)
        }
        drain()
    }

    private fun drain() {
        while (true) sink(nextBatch() ?: break)
        val total = dropped
        if (total != reported) sink(EventLine("log-dropped", System.currentTimeMillis()).apply { put("lines", total - reported) }.finish())
        reported = total
    }

    /** Joins several queued lines, since each write is a system call; returns null if the queue is empty. */
    private fun nextBatch(): String? {
        val first = queue.poll() ?: return null
        val batch = StringBuilder(first)
        while (batch.length < BATCH_CHARS) batch.append('\n').append(queue.poll() ?: break)
        return batch.trimEnd('\n').toString()
    }

    private companion object {
        const val BATCH_CHARS = 16_384
        const val DEFAULT_CAPACITY = 4_096

        /** Interval at which the writer polls the queue; long, since each wake-up costs CPU time. */
        const val POLL_INTERVAL_NS = 200_000_000L
        const val STOP_TIMEOUT_MS = 500L
    }
}

/** Builder of one line of an [EventLog]. */
class EventLine internal constructor(
    event: String,
    nowMs: Long,
) {
    private val text =
        StringBuilder(LINE_CHARS)
            .append("{\"timeMs\":")
            .append(nowMs)
            .append(",\"event\":\"")
            .append(event)
            .append('"')

    /** Adds a string field; does nothing if [value] is null. */
    fun put(name: String, value: String?) {
        if (value == null) return
        startField(name).append('"')
        value.forEach { append(it) }
        text.append('"')
    }

    /** Adds an integer field. */
    fun put(name: String, value: Long) {
        startField(name).append(value)
    }

    /** Adds a number field, rounded to two decimal places. */
    fun put(name: String, value: Double) {
        startField(name).append(Math.round(value * HUNDREDTHS) / HUNDREDTHS)
    }

    /** Adds a boolean field. */
    fun put(name: String, value: Boolean) {
        startField(name).append(value)
    }

    private fun startField(name: String) = text.append(",\"").append(name).append("\":")

    internal fun finish(): String = text.append('}').toString()

    private fun append(character: Char) {
        when {
            character == '"' || character == '\\' -> text.append('\\').append(character)
            character < ' ' -> text.append(' ')
            else -> text.append(character)
        }
    }

    private companion object {
        const val LINE_CHARS = 200
        const val HUNDREDTHS = 100.0
    }
}
