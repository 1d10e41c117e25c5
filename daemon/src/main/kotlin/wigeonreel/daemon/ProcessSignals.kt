package wigeonreel.daemon

import sun.misc.Signal
import java.util.concurrent.Semaphore

/**
 * Handles SIGTERM and SIGHUP of a daemon's process from the creation of this object on, whatever the process is doing.
 *
 * A process that is stopped before its daemon has started ends without starting it; while the daemon starts, the shutdown waits for it.
 */
class ProcessSignals(
    private val clock: Clock,
) {
    private val reloads = Semaphore(0)
    private val lock = Any()
    private var stopping = false
    private var stopDaemon: ((requestedAtMs: Long) -> Unit)? = null

    init {
        Signal.handle(Signal("HUP")) { requestReload() }
        Runtime.getRuntime().addShutdownHook(Thread(::shutDown, "shutdown"))
    }

    /**
     * Starts a daemon with [start], unless the process is being stopped.
     *
     * [stop] is called with the time of the request to stop, in milliseconds, and blocks until the daemon has stopped.
     */
    fun run(start: () -> Unit, stop: (requestedAtMs: Long) -> Unit) {
        synchronized(lock) {
            if (stopping) return
            start()
            stopDaemon = stop
        }
    }

    /** Calls [reload] after each SIGHUP, also after one that came before this call. Several in a row may cause a single call. */
    fun handleReloads(reload: () -> Unit): Nothing {
        while (true) {
            reloads.acquire()
            reloads.drainPermits()
            reload()
        }
    }

    internal fun requestReload() = reloads.release()

    internal fun shutDown() {
        val requestedAtMs = clock.nowMs()
        synchronized(lock) {
            stopping = true
            stopDaemon?.invoke(requestedAtMs)
        }
    }
}
