package wigeonreel.peer

import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.PeerGrpc
import wigeonreel.wire.RequestFrame
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * One long stream of forwarded requests to a peer.
 *
 * Replies are matched by attempt id, so late, doubled and reordered replies reach the right request or none. When the
 * stream breaks, every open request fails; a new link is made for the next one.
 */
internal class PeerLink(
    private val loop: EventLoopGroup,
    stub: PeerGrpc.PeerStub,
    private val failureOf: (Throwable) -> PeerFailure,
) {
    private class Pending(
        val onAnswer: (ForwardReply?, PeerFailure?) -> Unit,
        val timer: Future<*>,
    )

    private val pending = HashMap<String, Pending>()
    private var connected = false

    /** Whether requests can be sent. */
    var open = true
        private set

    private val requests: StreamObserver<RequestFrame> = stub.exchange(Replies())

    fun forward(request: ForwardRequest, timeoutMs: Long, onAnswer: (ForwardReply?, PeerFailure?) -> Unit): () -> Unit {
        val id = request.attemptId
        val timer = loop.schedule({ giveUp(id) }, timeoutMs, TimeUnit.MILLISECONDS)
        pending[id] = Pending(onAnswer, timer)
        requests.onNext(RequestFrame.newBuilder().setForward(request).build())
        return { giveUp(id) }
    }

    fun close() {
        if (open) requests.onCompleted()
        open = false
    }

    private fun giveUp(id: String) {
        val given = take(id) ?: return
        if (open) requests.onNext(RequestFrame.newBuilder().setCancelAttemptId(id).build())
        given.onAnswer(null, PeerFailure.LOST)
    }

    private fun take(id: String): Pending? = pending.remove(id)?.also { it.timer.cancel(false) }

    private fun end(failure: PeerFailure) {
        open = false
        pending.keys.toList().forEach { id -> take(id)?.onAnswer?.invoke(null, failure) }
    }

    private inner class Replies : StreamObserver<ForwardReply> {
        override fun onNext(reply: ForwardReply) {
            connected = true
            take(reply.attemptId)?.onAnswer?.invoke(reply, null)
        }

        /** Before the first reply, a refused connection proves that nothing was sent. */
        override fun onError(cause: Throwable) = end(if (connected) PeerFailure.LOST else failureOf(cause))

        override fun onCompleted() = end(PeerFailure.LOST)
    }
}
