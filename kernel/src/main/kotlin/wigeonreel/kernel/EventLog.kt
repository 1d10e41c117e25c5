package wigeonreel.kernel

import org.jctools.queues.MpscArrayQueue
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport

/**
 * Structured log: one JSON object a line, written by one thread of its own.
 *
 * Writers never wait: when the ring is full, lines are dropped, counted and told of.
 *
 * @param capacity lines that the ring holds.
 * @param sink takes one line or several; called by the writer thread only.
 */
class EventLog(
    capacity: Int = RING_LINES,
    private val sink: (String) -> Unit = { Logger.info(it) },
) : Service {
    override val name = "event-log"
    private val ring = MpscArrayQueue<String>(capacity)
    private val droppedLines = AtomicLong()
    private var told = 0L

    @Volatile
    private var open = true
    private val writer = Thread(::run, "event-log").apply { isDaemon = true }

    /** Lines dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    override fun start() = writer.start()

    override fun stop() {
        open = false
        LockSupport.unpark(writer)
        writer.join(STOP_MS)
    }

    /** Writes the event [event] at [nowMs] with its [fields]; returns at once. */
    fun write(event: String, nowMs: Long, fields: EventLine.() -> Unit = {}) {
        val line = EventLine(event, nowMs).apply(fields).finish()
        if (!ring.offer(line)) droppedLines.incrementAndGet()
    }

    private fun run() {
        while (open) {
            drain()
            LockSupport.parkNanos(PAUSE_NS)
        }
        drain()
    }

    private fun drain() {
        while (true) sink(nextBatch() ?: break)
        val lost = dropped
        if (lost != told) sink(EventLine("log-dropped", System.currentTimeMillis()).apply { put("lines", lost - told) }.finish())
        told = lost
    }

    /** Several lines are written at once, since each write is a system call. */
    private fun nextBatch(): String? {
        val first = ring.poll() ?: return null
        val batch = StringBuilder(first)
        while (batch.length < BATCH_CHARS) batch.append('\n').append(ring.poll() ?: break)
        return batch.trimEnd('\n').toString()
    }

    private companion object {
        const val BATCH_CHARS = 16_384
        const val RING_LINES = 4_096

        /** Pause between two looks at the ring; long, since each wake-up costs processor time. */
        const val PAUSE_NS = 200_000_000L
        const val STOP_MS = 500L
    }
}

/** One line of an [EventLog] in the making. */
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

    /** Adds a text; null is left out. */
    fun put(name: String, value: String?) {
        if (value == null) return
        begin(name).append('"')
        value.forEach { append(it) }
        text.append('"')
    }

    /** Adds a whole number. */
    fun put(name: String, value: Long) {
        begin(name).append(value)
    }

    /** Adds a number, to two places. */
    fun put(name: String, value: Double) {
        begin(name).append(Math.round(value * HUNDREDTHS) / HUNDREDTHS)
    }

    /** Adds a truth value. */
    fun put(name: String, value: Boolean) {
        begin(name).append(value)
    }

    private fun begin(name: String) = text.append(",\"").append(name).append("\":")

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
