package wigeonreel.peer

import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.PeerGrpc
import wigeonreel.wire.RequestFrame
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Long-lived stream to one peer for forwarded requests and token requests.
 *
 * Replies are matched by attempt id, so a late, duplicate or reordered reply reaches its own request or is dropped. When
 * the stream breaks, every pending request fails; the next request needs a new link.
 */
internal class PeerLink(
    private val loop: EventLoopGroup,
    stub: PeerGrpc.PeerStub,
    private val failureOf: (Throwable) -> PeerFailure,
    private val onEnd: (PeerLink) -> Unit,
) {
    private class Pending(
        val onAnswer: (ForwardReply?, PeerFailure?) -> Unit,
        val timer: Future<*>,
    )

    private val pending = HashMap<String, Pending>()
    private var connected = false
    private var lastReceivedNs = System.nanoTime()
    private var pings = 0L
    private var livenessCheck: Future<*>? = null

    /** Whether requests can be sent. */
    var open = true
        private set

    private val requests: StreamObserver<RequestFrame> = stub.exchange(Replies())

    /**
     * Sends [frame], whose reply carries [id]; [onAnswer] receives the reply or the failure exactly once.
     *
     * Returns a function that cancels the request.
     */
    fun send(id: String, frame: RequestFrame, timeoutMs: Long, onAnswer: (ForwardReply?, PeerFailure?) -> Unit): () -> Unit {
        val timer = loop.schedule({ cancel(id) }, timeoutMs, TimeUnit.MILLISECONDS)
        if (pending.isEmpty()) lastReceivedNs = System.nanoTime()
        pending[id] = Pending(onAnswer, timer)
        if (livenessCheck == null) livenessCheck = loop.schedule(::checkLiveness, PING_INTERVAL_MS, TimeUnit.MILLISECONDS)
        requests.onNext(frame)
        return { cancel(id) }
    }

    fun close() {
        if (open) requests.onCompleted()
        open = false
    }

    /** Pings a silent link with pending requests and fails it if it stays silent: its connection may be lost without a TCP reset. */
    private fun checkLiveness() {
        livenessCheck = null
        if (!open || pending.isEmpty()) return
        val silentMs = (System.nanoTime() - lastReceivedNs) / NS_PER_MS
        if (silentMs > SILENCE_TIMEOUT_MS) return fail(PeerFailure.LOST)
        if (silentMs >= PING_INTERVAL_MS) requests.onNext(RequestFrame.newBuilder().setPing(++pings).build())
        livenessCheck = loop.schedule(::checkLiveness, PING_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun cancel(id: String) {
        val cancelled = removePending(id) ?: return
        if (open) requests.onNext(RequestFrame.newBuilder().setCancelAttemptId(id).build())
        cancelled.onAnswer(null, PeerFailure.LOST)
    }

    private fun removePending(id: String): Pending? = pending.remove(id)?.also { it.timer.cancel(false) }

    private fun fail(failure: PeerFailure) {
        if (!open && pending.isEmpty()) return
        open = false
        onEnd(this)
        pending.keys.toList().forEach { id -> removePending(id)?.onAnswer?.invoke(null, failure) }
    }

    private inner class Replies : StreamObserver<ForwardReply> {
        override fun onNext(reply: ForwardReply) {
            connected = true
            lastReceivedNs = System.nanoTime()
            if (reply.pong != 0L) return
            removePending(reply.attemptId)?.onAnswer?.invoke(reply, null)
        }

        /** Reports a refused connection as [PeerFailure.NOT_SENT] only before the first reply; later, requests may have been sent. */
        override fun onError(cause: Throwable) = fail(if (connected) PeerFailure.LOST else failureOf(cause))

        override fun onCompleted() = fail(PeerFailure.LOST)
    }

    private companion object {
        /** Interval between liveness checks of a link with pending requests; a few round trips between regions. */
        const val PING_INTERVAL_MS = 300L

        /** Silence after which a pinged link fails: three pings and the longest pause of a busy peer. */
        const val SILENCE_TIMEOUT_MS = 1_200L
        const val NS_PER_MS = 1_000_000L
    }
}
