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
import wigeonreel.membership.PeerAddress
import wigeonreel.wire.PeerGrpc
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/** Why a call to a peer has no answer. */
enum class PeerFailure {
    /** The call certainly did not reach the peer. */
    NOT_SENT,

    /** The call may have reached the peer. */
    LOST,
}

/** gRPC clients of other daemons, one connection to each that is used; they close when idle. */
class PeerClients(
    private val loop: EventLoopGroup,
    private val maxMessageBytes: Int,
) {
    private val channels = HashMap<PeerAddress, ManagedChannel>()

    /** Makes one [call] to the peer at [address]; [onAnswer] gets the answer or the failure. Returns how to cancel it. */
    fun <R> call(
        address: PeerAddress,
        timeoutMs: Long,
        call: (PeerGrpc.PeerFutureStub) -> ListenableFuture<R>,
        onAnswer: (R?, PeerFailure?) -> Unit,
    ): () -> Unit {
        val stub = PeerGrpc.newFutureStub(channelTo(address)).withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
        val future = call(stub)
        Futures.addCallback(future, callback(onAnswer), MoreExecutors.directExecutor())
        return { future.cancel(true) }
    }

    /** Closes the connections to peers that are not in [known]. */
    fun retain(known: Set<PeerAddress>) {
        channels.entries.removeIf { (address, channel) -> (address !in known).also { if (it) channel.shutdown() } }
    }

    /** Closes all connections. */
    fun close() = channels.values.forEach { it.shutdownNow() }

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
                .idleTimeout(IDLE_S, TimeUnit.SECONDS)
                .disableRetry()
                .build()
        }

    private fun <R> callback(onAnswer: (R?, PeerFailure?) -> Unit) =
        object : FutureCallback<R> {
            override fun onSuccess(result: R) = onAnswer(result, null)

            override fun onFailure(cause: Throwable) = onAnswer(null, failureOf(cause))
        }

    /** Only a failed connection attempt proves that nothing was sent. */
    private fun failureOf(cause: Throwable): PeerFailure {
        val unavailable = Status.fromThrowable(cause).code == Status.Code.UNAVAILABLE
        val refused = generateSequence(cause) { it.cause }.any { it is ConnectException }
        return if (unavailable && refused) PeerFailure.NOT_SENT else PeerFailure.LOST
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000
        const val IDLE_S = 60L
    }
}
