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
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Answers calls from other daemons; the functions belong to the thread of the endpoint's event loop. */
interface PeerHandler {
    /** Runs a request on the local backend server; returns how to cancel it. */
    fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit

    /** Blocks an idempotency key or tells its outcome. */
    fun block(request: BlockRequest): BlockReply

    /** Lends tokens of a client account's limit. */
    fun borrow(request: BorrowRequest): BorrowReply

    /** Returns the configuration entries changed after a version. */
    fun fetchConfig(request: FetchConfigRequest): ConfigDelta

    /** Takes a configuration delta; [onReceipt] gets the version that is in force then. */
    fun offerConfig(delta: ConfigDelta, onReceipt: (ConfigReceipt) -> Unit)
}

/** gRPC server for other daemons. */
class PeerEndpoint(
    private val loop: EventLoopGroup,
    private val address: InetSocketAddress,
    private val maxMessageBytes: Int,
    private val handler: PeerHandler,
) : Service {
    override val name = "peer-endpoint"
    private var server: Server? = null

    override fun start() {
        server =
            NettyServerBuilder
                .forAddress(address)
                .bossEventLoopGroup(loop)
                .workerEventLoopGroup(loop)
                .channelType(NioServerSocketChannel::class.java)
                .directExecutor()
                .maxInboundMessageSize(maxMessageBytes)
                .addService(PeerCalls(handler))
                .build()
                .start()
    }

    override fun stop() {
        server?.shutdown()?.awaitTermination(STOP_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val STOP_MS = 500L
    }
}

private class PeerCalls(
    private val handler: PeerHandler,
) : PeerGrpc.PeerImplBase() {
    override fun forward(request: ForwardRequest, responses: StreamObserver<ForwardReply>) {
        val observer = responses as ServerCallStreamObserver<ForwardReply>
        var cancel: () -> Unit = {}
        observer.setOnCancelHandler { cancel() }
        cancel = handler.forward(request) { reply -> if (!observer.isCancelled) complete(observer, reply) }
    }

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
