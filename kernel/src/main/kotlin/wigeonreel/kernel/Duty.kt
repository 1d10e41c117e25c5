package wigeonreel.kernel

import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.locks.LockSupport

/**
 * One duty of a process: a thread that takes messages from a bounded ring.
 *
 * @param capacity messages that the ring holds; a message offered to a full ring is refused.
 * @param handle called on the duty's thread for each message.
 */
class Duty<M : Any>(
    override val name: String,
    capacity: Int,
    private val handle: (M) -> Unit,
) : Service {
    private val ring = MpscArrayQueue<M>(capacity)

    @Volatile
    private var running = false
    private var thread: Thread? = null

    /** Offers a message; returns false when the ring is full. */
    fun offer(message: M): Boolean {
        if (!ring.offer(message)) return false
        LockSupport.unpark(thread)
        return true
    }

    override fun start() {
        running = true
        thread = Thread(::run, name).apply { isDaemon = true }.also { it.start() }
    }

    override fun stop() {
        running = false
        LockSupport.unpark(thread)
    }

    private fun run() {
        while (running) {
            val message = ring.poll()
            if (message == null) LockSupport.parkNanos(IDLE_PARK_NS) else handle(message)
        }
    }

    private companion object {
        const val IDLE_PARK_NS = 50_000_000L
    }
}
