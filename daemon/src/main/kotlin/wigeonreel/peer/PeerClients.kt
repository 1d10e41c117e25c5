package wigeonreel.peer

import com.google.common.util.concurrent.FutureCallback
import com.google.common.util.concurrent.Futures
import com.google.common.util.concurrent.ListenableFuture
import com.google.common.util.concurrent.MoreExecutors
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import wigeonreel.codec.toCore
import wigeonreel.config.ConfigDelta
import wigeonreel.kernel.Log
import wigeonreel.membership.PeerAddress
import wigeonreel.wire.FetchConfigRequest
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome
import wigeonreel.wire.PeerGrpc
import wigeonreel.wire.RequestFrame
import wigeonreel.wire.TokenGrants
import wigeonreel.wire.TokenRequest
import java.net.ConnectException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Reason why a call to a peer got no reply. */
enum class PeerFailure {
    /** The call was not sent to the peer. */
    NOT_SENT,

    /** The call may have reached the peer. */
    LOST,
}

/** gRPC clients for other daemons, with one connection per peer that is closed when idle. */
class PeerClients(
    private val loop: EventLoopGroup,
    private val maxMessageBytes: Int,
) {
    private val log = Log("peers")
    private val channels = HashMap<PeerAddress, ManagedChannel>()
    private val links = HashMap<PeerAddress, PeerLink>()

    /**
     * Forwards a request to the peer at [address]; [onAnswer] receives the reply or the failure exactly once. A reply that brings a
     * response without a valid status counts as lost.
     *
     * Returns a function that cancels the request.
     */
    fun forward(
        address: PeerAddress,
        request: ForwardRequest,
        timeoutMs: Long,
        onAnswer: (ForwardReply?, PeerFailure?) -> Unit,
    ): () -> Unit {
        val frame = RequestFrame.newBuilder().setForward(request).build()
        return linkTo(address).send(request.attemptId, frame, timeoutMs) { reply, failure ->
            if (reply == null || reply.hasValidStatus) {
                onAnswer(reply, failure)
            } else {
                log.warn("reply of $address to ${request.attemptId} dropped: response with status ${reply.status}")
                onAnswer(null, PeerFailure.LOST)
            }
        }
    }

    private val ForwardReply.hasValidStatus get() = outcome != Outcome.ANSWERED || status in FINAL_STATUSES

    /** Requests tokens from the peer at [address] over the stream of forwarded requests; [onGrants] receives null without a reply. */
    fun requestTokens(address: PeerAddress, request: TokenRequest, timeoutMs: Long, onGrants: (TokenGrants?) -> Unit) {
        val frame = RequestFrame.newBuilder().setTokens(request).build()
        linkTo(address).send(request.attemptId, frame, timeoutMs) { reply, _ -> onGrants(reply?.grants) }
    }

    /**
     * Makes one unary [call] to the peer at [address]; [onAnswer] receives the reply or the failure exactly once within [timeoutMs].
     *
     * The timeout runs on the event loop because gRPC's own deadlines wake a timer thread for each call on both sides.
     * Returns a function that cancels the call.
     */
    fun <R> call(
        address: PeerAddress,
        timeoutMs: Long,
        call: (PeerGrpc.PeerFutureStub) -> ListenableFuture<R>,
        onAnswer: (R?, PeerFailure?) -> Unit,
    ): () -> Unit {
        val future = call(PeerGrpc.newFutureStub(channelTo(address)))
        val timer = loop.schedule({ future.cancel(true) }, timeoutMs, TimeUnit.MILLISECONDS)
        Futures.addCallback(future, callback(timer, onAnswer), MoreExecutors.directExecutor())
        return { future.cancel(true) }
    }

    /** Fetches the configuration entries changed after [afterVersion] from the peer at [from]; [onDelta] is not called on a failure. */
    fun fetchConfig(from: PeerAddress, afterVersion: Long, timeoutMs: Long, onDelta: (ConfigDelta) -> Unit) {
        val request = FetchConfigRequest.newBuilder().setAfterVersion(afterVersion).build()
        call(from, timeoutMs, { it.fetchConfig(request) }) { delta, _ -> delta?.let { onDelta(it.toCore()) } }
    }

    /** Closes the connections to peers that are not in [known]. */
    fun retain(known: Set<PeerAddress>) {
        links.entries.removeIf { (address, link) -> (address !in known).also { if (it) link.close() } }
        channels.entries.removeIf { (address, channel) -> (address !in known).also { if (it) channel.shutdown() } }
    }

    /** Closes all connections. */
    fun close() = channels.values.forEach { it.shutdownNow() }

    private fun linkTo(address: PeerAddress): PeerLink =
        links[address]?.takeIf { it.open }
            ?: PeerLink(loop, PeerGrpc.newStub(channelTo(address)), ::failureOf) { onEnd(address, it) }.also { links[address] = it }

    /** Closes the channel of a broken link, so that the next request connects immediately instead of after a back-off. */
    private fun onEnd(address: PeerAddress, link: PeerLink) {
        if (links[address] !== link) return
        links.remove(address)
        channels.remove(address)?.shutdownNow()
    }

    private fun channelTo(address: PeerAddress): ManagedChannel =
        channels.getOrPut(address) {
            NettyChannelBuilder
                .forAddress(address.host, address.port)
                .eventLoopGroup(loop)
                .channelType(NioSocketChannel::class.java)
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .directExecutor()
                .usePlaintext()
                .maxInboundMessageSize(maxMessageBytes)
                .flowControlWindow(FLOW_WINDOW_BYTES)
                .idleTimeout(IDLE_TIMEOUT_S, TimeUnit.SECONDS)
                .disableRetry()
                .build()
        }

    private fun <R> callback(timer: Future<*>, onAnswer: (R?, PeerFailure?) -> Unit) =
        object : FutureCallback<R> {
            override fun onSuccess(result: R) {
                timer.cancel(false)
                onAnswer(result, null)
            }

            override fun onFailure(cause: Throwable) {
                timer.cancel(false)
                onAnswer(null, failureOf(cause))
            }
        }

    /** Returns [PeerFailure.NOT_SENT] only for a failed connection attempt; any other failure may come after the call was sent. */
    private fun failureOf(cause: Throwable): PeerFailure {
        val unavailable = Status.fromThrowable(cause).code == Status.Code.UNAVAILABLE
        val refused = generateSequence(cause) { it.cause }.any { it is ConnectException }
        return if (unavailable && refused) PeerFailure.NOT_SENT else PeerFailure.LOST
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        const val FLOW_WINDOW_BYTES = 8 * 1024 * 1024
        const val IDLE_TIMEOUT_S = 60L
        val FINAL_STATUSES = 200..599
    }
}
