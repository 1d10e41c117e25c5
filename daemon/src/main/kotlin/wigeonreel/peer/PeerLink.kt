package wigeonreel.peer

import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.PeerGrpc
import wigeonreel.wire.RequestFrame
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * One long stream of requests to a peer: forwarded ones and those for tokens.
 *
 * Replies are matched by attempt id, so late, doubled and reordered replies reach the right request or none. When the
 * stream breaks, every open request fails; a new link is made for the next one.
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
    private var heardNs = System.nanoTime()
    private var pings = 0L
    private var probe: Future<*>? = null

    /** Whether requests can be sent. */
    var open = true
        private set

    private val requests: StreamObserver<RequestFrame> = stub.exchange(Replies())

    /** Sends [frame], whose reply carries [id]; [onAnswer] gets the reply or the failure once. Returns how to cancel it. */
    fun send(id: String, frame: RequestFrame, timeoutMs: Long, onAnswer: (ForwardReply?, PeerFailure?) -> Unit): () -> Unit {
        val timer = loop.schedule({ giveUp(id) }, timeoutMs, TimeUnit.MILLISECONDS)
        if (pending.isEmpty()) heardNs = System.nanoTime()
        pending[id] = Pending(onAnswer, timer)
        if (probe == null) probe = loop.schedule(::checkSilence, PING_MS, TimeUnit.MILLISECONDS)
        requests.onNext(frame)
        return { giveUp(id) }
    }

    fun close() {
        if (open) requests.onCompleted()
        open = false
    }

    /** While requests are open, a link that brings nothing is pinged and then given up: its connection may be gone without a reset. */
    private fun checkSilence() {
        probe = null
        if (!open || pending.isEmpty()) return
        val silentMs = (System.nanoTime() - heardNs) / NS_PER_MS
        if (silentMs > SILENT_MS) return end(PeerFailure.LOST)
        if (silentMs >= PING_MS) requests.onNext(RequestFrame.newBuilder().setPing(++pings).build())
        probe = loop.schedule(::checkSilence, PING_MS, TimeUnit.MILLISECONDS)
    }

    private fun giveUp(id: String) {
        val given = take(id) ?: return
        if (open) requests.onNext(RequestFrame.newBuilder().setCancelAttemptId(id).build())
        given.onAnswer(null, PeerFailure.LOST)
    }

    private fun take(id: String): Pending? = pending.remove(id)?.also { it.timer.cancel(false) }

    private fun end(failure: PeerFailure) {
        if (!open && pending.isEmpty()) return
        open = false
        onEnd(this)
        pending.keys.toList().forEach { id -> take(id)?.onAnswer?.invoke(null, failure) }
    }

    private inner class Replies : StreamObserver<ForwardReply> {
        override fun onNext(reply: ForwardReply) {
            connected = true
            heardNs = System.nanoTime()
            if (reply.pong != 0L) return
            take(reply.attemptId)?.onAnswer?.invoke(reply, null)
        }

        /** Before the first reply, a refused connection proves that nothing was sent. */
        override fun onError(cause: Throwable) = end(if (connected) PeerFailure.LOST else failureOf(cause))

        override fun onCompleted() = end(PeerFailure.LOST)
    }

    private companion object {
        /** Time between looks at a link with open requests; a few round trips between regions. */
        const val PING_MS = 300L

        /** Silence after which a pinged link is given up: three pings and the longest pause of a busy peer. */
        const val SILENT_MS = 1_200L
        const val NS_PER_MS = 1_000_000L
    }
}
