package wigeonreel.peer

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import wigeonreel.kernel.Service
import wigeonreel.wire.BlockReply
import wigeonreel.wire.BlockRequest
import wigeonreel.wire.BorrowReply
import wigeonreel.wire.BorrowRequest
import wigeonreel.wire.ConfigDelta
import wigeonreel.wire.ConfigReceipt
import wigeonreel.wire.FetchConfigRequest
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.PeerGrpc
import wigeonreel.wire.RequestFrame
import wigeonreel.wire.TokenGrants
import wigeonreel.wire.TokenRequest
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Handles calls from other daemons; its functions are called on the event loop of the [PeerEndpoint]. */
interface PeerHandler {
    /** Runs [request] on the local backend server. Returns a function that cancels it. */
    fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit

    /** Blocks an idempotency key, or returns the outcome of the request that has used it. */
    fun block(request: BlockRequest): BlockReply

    /** Grants tokens of client accounts' limits. */
    fun grantTokens(request: TokenRequest): TokenGrants

    /** Lends tokens of a client account's limit. */
    fun borrow(request: BorrowRequest): BorrowReply

    /** Returns the configuration entries changed after the version in [request]. */
    fun fetchConfig(request: FetchConfigRequest): ConfigDelta

    /** Handles a configuration [delta] offered by a peer; [onReceipt] receives the version that is in force afterwards. */
    fun offerConfig(delta: ConfigDelta, onReceipt: (ConfigReceipt) -> Unit)
}

/**
 * gRPC server for calls from other daemons.
 *
 * @param loop event loop with a single thread, on which all calls are handled.
 */
class PeerEndpoint(
    private val loop: EventLoopGroup,
    private val address: InetSocketAddress,
    private val maxMessageBytes: Int,
    private val handler: PeerHandler,
) : Service {
    override val name = "peer-endpoint"
    private var server: Server? = null
    private val calls = PeerCalls(handler)

    override fun start() {
        server =
            NettyServerBuilder
                .forAddress(address)
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .channelType(NioServerSocketChannel::class.java)
                .directExecutor()
                .maxInboundMessageSize(maxMessageBytes)
                .flowControlWindow(FLOW_WINDOW_BYTES)
                .addService(calls)
                .build()
                .start()
    }

    /** Ends the streams of other daemons, which would keep the server from terminating; replies written before are still sent. */
    override fun stop() {
        val stopping = server?.shutdown() ?: return
        loop.submit { calls.endExchanges() }.sync()
        if (!stopping.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) stopping.shutdownNow()
    }

    private companion object {
        const val FLOW_WINDOW_BYTES = 8 * 1024 * 1024

        /** Maximum time for sending the last replies. */
        const val STOP_TIMEOUT_MS = 100L
    }
}

private class PeerCalls(
    private val handler: PeerHandler,
) : PeerGrpc.PeerImplBase() {
    private val exchanges = LinkedHashSet<ForwardExchange>()

    override fun exchange(responses: StreamObserver<ForwardReply>): StreamObserver<RequestFrame> =
        ForwardExchange(handler, responses as ServerCallStreamObserver<ForwardReply>) { exchanges -= it }.also { exchanges += it }

    /** Ends all open streams. */
    fun endExchanges() = exchanges.toList().forEach { it.onCompleted() }

    override fun block(request: BlockRequest, responses: StreamObserver<BlockReply>) = complete(responses, handler.block(request))

    override fun borrow(request: BorrowRequest, responses: StreamObserver<BorrowReply>) = complete(responses, handler.borrow(request))

    override fun fetchConfig(request: FetchConfigRequest, responses: StreamObserver<ConfigDelta>) =
        complete(responses, handler.fetchConfig(request))

    override fun offerConfig(request: ConfigDelta, responses: StreamObserver<ConfigReceipt>) =
        handler.offerConfig(request) { complete(responses, it) }

    private fun <R> complete(responses: StreamObserver<R>, reply: R) {
        responses.onNext(reply)
        responses.onCompleted()
    }
}

/** Long-lived stream of requests from one daemon; replies are sent in order of completion. */
private class ForwardExchange(
    private val handler: PeerHandler,
    private val responses: ServerCallStreamObserver<ForwardReply>,
    private val onEnd: (ForwardExchange) -> Unit,
) : StreamObserver<RequestFrame> {
    private val running = HashMap<String, () -> Unit>()
    private var open = true

    init {
        responses.setOnCancelHandler { end() }
    }

    override fun onNext(frame: RequestFrame) {
        when (frame.frameCase) {
            RequestFrame.FrameCase.FORWARD -> forward(frame.forward)
            RequestFrame.FrameCase.CANCEL_ATTEMPT_ID -> running.remove(frame.cancelAttemptId)?.invoke()
            RequestFrame.FrameCase.PING -> reply(ForwardReply.newBuilder().setPong(frame.ping).build())
            RequestFrame.FrameCase.TOKENS -> reply(grantsFor(frame.tokens))
            RequestFrame.FrameCase.FRAME_NOT_SET, null -> Unit
        }
    }

    override fun onError(cause: Throwable) = end()

    override fun onCompleted() {
        if (!open) return
        end()
        responses.onCompleted()
    }

    private fun forward(request: ForwardRequest) {
        var answered = false
        val cancel =
            handler.forward(request) { reply ->
                answered = true
                running.remove(request.attemptId)
                reply(reply)
            }
        if (!answered) running[request.attemptId] = cancel
    }

    private fun grantsFor(request: TokenRequest): ForwardReply =
        ForwardReply
            .newBuilder()
            .setAttemptId(request.attemptId)
            .setGrants(handler.grantTokens(request))
            .build()

    private fun reply(reply: ForwardReply) {
        if (open && !responses.isCancelled) responses.onNext(reply)
    }

    private fun end() {
        open = false
        onEnd(this)
        val unfinished = running.values.toList()
        running.clear()
        unfinished.forEach { it() }
    }
}
