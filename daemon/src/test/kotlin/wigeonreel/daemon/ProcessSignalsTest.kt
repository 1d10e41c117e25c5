package wigeonreel.daemon

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

class ProcessSignalsTest {
    private val nowMs = AtomicLong(1_000)
    private val signals = ProcessSignals({ nowMs.get() })

    /** SIGHUP that came before the start was over was lost. The signal itself is sent by StartSignalsTest. */
    @Test
    fun `a reload that is requested during the start is lost`() {
        signals.requestReload()
        val reloads = Semaphore(0)
        thread(isDaemon = true) { signals.handleReloads { reloads.release() } }
        expectThat(reloads.tryAcquire(10, TimeUnit.SECONDS)).isTrue()
    }

    /** A daemon that was stopped while it started accepted requests and ended without a shutdown. */
    @Test
    fun `SIGTERM during the start cuts the requests that were accepted`() {
        val starting = CountDownLatch(1)
        val started = CountDownLatch(1)
        val stoppedFor = CompletableFuture<Long>()
        val start = {
            starting.countDown()
            started.await()
        }
        thread { signals.run(start) { stoppedFor.complete(it) } }
        starting.await()
        val shutDown = thread { signals.shutDown() }
        while (shutDown.state != Thread.State.BLOCKED) Thread.sleep(1)
        nowMs.set(2_000)
        expectThat(stoppedFor.getNow(null)).isNull()
        started.countDown()
        expectThat(stoppedFor.get(10, TimeUnit.SECONDS)).isEqualTo(1_000)
    }

    @Test
    fun `SIGTERM before the start does not prevent it`() {
        signals.shutDown()
        var started = false
        signals.run({ started = true }, { })
        expectThat(started).isFalse()
    }
}
