package wigeonreel.processes

import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Request that a [Caller] sends.
 *
 * @param key key of a client account, or null.
 * @param uploadPauseMs pause in the middle of the body, in milliseconds.
 */
class Ask(
    val route: Route,
    val deadlineMs: Long,
    val key: String? = null,
    val body: ByteArray = ByteArray(0),
    val uploadPauseMs: Long = 0,
)

/** Decides whether the next request uses an idle connection. */
fun interface ReusePolicy {
    fun reuses(idleCount: Int): Boolean

    companion object {
        val ALWAYS = ReusePolicy { it > 0 }
        val NEVER = ReusePolicy { false }
    }
}

/** Uses an idle connection for most requests, and keeps some idle for longer. */
class MixedReuse(
    private val random: Random,
) : ReusePolicy {
    override fun reuses(idleCount: Int) = idleCount >= MIN_IDLE && random.nextDouble() >= NEW_CONNECTION_SHARE

    private companion object {
        const val MIN_IDLE = 8
        const val NEW_CONNECTION_SHARE = 0.2
    }
}

/** Caller beside one daemon: keeps its connections open, and goes on using them while the daemon stops. Thread-safe. */
class Caller(
    private val vm: String,
    private val address: String,
    private val records: Records,
    private val nowMs: () -> Long,
    private val random: Random,
    private val reuse: ReusePolicy = MixedReuse(random),
) {
    private class Connection(
        val socket: Socket,
    ) {
        val input = BufferedInputStream(socket.getInputStream())
        var used = false
    }

    private val idle = ArrayDeque<Connection>()

    /** Sends [ask], records the attempt and returns it; null if no connection could be opened. */
    fun call(ask: Ask): Attempt? {
        val id = "a${nextId.incrementAndGet().toString(ID_RADIX)}"
        val connection = takeIdle() ?: connect() ?: return null
        val reused = connection.used
        connection.used = true
        val startedMs = nowMs()
        val sent = runCatching { send(connection, id, ask) }
        val sentAtMs = nowMs()
        val base = Attempt(id, vm, ask.route, reused, sentAtMs, startedMs + ask.deadlineMs, sentAtMs, AttemptEnd.NOT_SENT)
        val attempt = if (sent.isSuccess) receive(connection, base) else base.copy(detail = sent.exceptionOrNull().toString())
        if (attempt.end != AttemptEnd.ANSWERED) connection.socket.close()
        records.attempts += attempt
        return attempt
    }

    private fun send(connection: Connection, id: String, ask: Ask) {
        val headers =
            buildMap {
                put("Host", HOST)
                put("X-Attempt-Id", id)
                put("X-Deadline-Ms", ask.deadlineMs.toString())
                ask.key?.let { put("X-Credential", it) }
            }
        val method = if (ask.body.isEmpty()) "GET" else "POST"
        val message = encodeMessage("$method /${ask.route.name}/$id HTTP/1.1", headers, ask.body)
        val output = connection.socket.getOutputStream()
        val pauseAt = if (ask.uploadPauseMs > 0) message.size / 2 else 0
        output.write(message, 0, pauseAt)
        if (ask.uploadPauseMs > 0) Thread.sleep(ask.uploadPauseMs)
        output.write(message, pauseAt, message.size - pauseAt)
    }

    private fun receive(connection: Connection, sent: Attempt): Attempt {
        var end: AttemptEnd
        var detail = ""
        try {
            connection.socket.soTimeout = (sent.deadlineMs + PATIENCE_MS - nowMs()).coerceAtLeast(1).toInt()
            val response = readMessage(connection.input)
            if (response != null) return answered(connection, sent, response)
            end = AttemptEnd.CLOSED
        } catch (expected: SocketTimeoutException) {
            end = AttemptEnd.SILENT
            detail = expected.message.orEmpty()
        } catch (expected: EOFException) {
            end = AttemptEnd.CLOSED
            detail = expected.message.orEmpty()
        } catch (expected: IOException) {
            end = AttemptEnd.RESET
            detail = expected.message.orEmpty()
        }
        return sent.copy(endedAtMs = nowMs(), end = end, detail = detail)
    }

    private fun answered(connection: Connection, sent: Attempt, response: RawMessage): Attempt {
        if (response.closes) connection.socket.close() else release(connection)
        val signed = response.header("X-Response-Signature").isNotEmpty()
        val own = response.header("X-Attempt-Id") == sent.id && response.body.contentEquals(bodyOf(sent.id, response.body.size))
        return sent.copy(
            endedAtMs = nowMs(),
            end = AttemptEnd.ANSWERED,
            status = response.status,
            signed = signed,
            foreign = signed && !own || !signed && response.status < FIRST_ERROR,
            detail = if (signed) "" else response.body.decodeToString().trim(),
        )
    }

    private fun takeIdle(): Connection? =
        synchronized(idle) {
            if (!reuse.reuses(idle.size)) return null
            if (random.nextBoolean()) idle.removeFirst() else idle.removeLast()
        }

    private fun release(connection: Connection) =
        synchronized(idle) {
            idle.addLast(connection)
            if (idle.size > MAX_IDLE) idle.removeFirst().socket.close()
        }

    private fun connect(): Connection? {
        val socket = Socket()
        return try {
            socket.tcpNoDelay = true
            socket.connect(socketAddress(address), CONNECT_TIMEOUT_MS)
            Connection(socket)
        } catch (expected: IOException) {
            // The daemon is down, or its socket can't take the connection.
            socket.close()
            null
        }
    }

    companion object {
        const val HOST = "soak.example"
        private const val ID_RADIX = 36
        private const val FIRST_ERROR = 400
        private const val PATIENCE_MS = 500L
        private const val CONNECT_TIMEOUT_MS = 1_000
        private const val MAX_IDLE = 40
        private val nextId = AtomicLong()

        /** Returns the body of a server's response to the attempt [id]: its id, repeated to [size] bytes. */
        fun bodyOf(id: String, size: Int): ByteArray {
            val pattern = "$id ".encodeToByteArray()
            return ByteArray(size) { pattern[it % pattern.size] }
        }
    }
}
