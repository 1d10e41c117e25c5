package wigeonreel.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder

/** Address of an HTTP server. */
data class HttpAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; returns null if [text] does not have that form. */
        fun parse(text: String): HttpAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else HttpAddress(host, port)
        }
    }
}

private const val DEFAULT_CONNECT_TIMEOUT_MS = 2_000L

/** Relation of a response to the request that is in progress on its connection. */
enum class ResponseMatch {
    /** The response answers the request. */
    OWN,

    /** The response answers another request and is dropped. */
    FOREIGN,

    /** The response may answer the request or repeat the response to an earlier one; the call fails. */
    AMBIGUOUS,
}

/**
 * Options of a single request.
 *
 * @param maxIdleMs maximum idle time of a pooled connection that is reused; the server may be closing one that was idle longer.
 * @param connectTimeoutMs connect timeout of a new connection.
 * @param acceptsCloseDelimited whether to accept a response without a length, which ends when its connection is closed.
 * @param match relation of a response to this request; its second argument tells whether the connection had carried another request.
 */
class SendOptions(
    val maxIdleMs: Long = Long.MAX_VALUE,
    val connectTimeoutMs: Long = DEFAULT_CONNECT_TIMEOUT_MS,
    val acceptsCloseDelimited: Boolean = false,
    val match: (HttpResponse, Boolean) -> ResponseMatch = { _, _ -> ResponseMatch.OWN },
)

/** Request in progress that can be canceled. */
fun interface Cancellable {
    /** Cancels the request and closes its connection, which signals the cancellation to the server. */
    fun cancel()
}

/**
 * HTTP/1.1 client with a connection pool and one request at a time on each connection.
 *
 * All functions must be called on the thread of [loop], which also runs the callbacks.
 */
class HttpConnector(
    private val loop: EventLoopGroup,
    private val limits: HttpLimits = HttpLimits(),
) {
    private class PooledConnection(
        val channel: Channel,
        val idleSinceNs: Long,
        val expiresAtNs: Long,
    )

    private val idleConnections = HashMap<HttpAddress, ArrayDeque<PooledConnection>>()
    private val budget = ReceiveBudget(limits.maxBufferedBytes, SMALL_RESPONSE_BYTES)

    /** Sends [request] and calls [onResult] exactly once, at the latest after [timeoutMs]. */
    fun send(
        address: HttpAddress,
        request: HttpRequest,
        timeoutMs: Long,
        options: SendOptions = SendOptions(),
        onResult: (HttpResult) -> Unit,
    ): Cancellable {
        val call = ClientCall(request, address, options, onResult)
        call.startTimer(loop.next(), timeoutMs)
        val pooled = takeIdle(address, options.maxIdleMs)
        if (pooled != null) call.sendOn(pooled, reused = true) else connect(address, call, minOf(timeoutMs, options.connectTimeoutMs))
        return Cancellable { call.fail(LostReason.CANCELLED) }
    }

    /** Closes all idle connections. */
    fun close() {
        idleConnections.values.forEach { pool -> pool.forEach { it.channel.close() } }
        idleConnections.clear()
    }

    /** Returns a connection to the pool; [keepAliveMs] is the keep-alive timeout that the server announced, if any. */
    internal fun release(address: HttpAddress, channel: Channel, keepAliveMs: Long?) {
        val pool = idleConnections.getOrPut(address) { ArrayDeque() }
        val nowNs = System.nanoTime()
        val usableMs = keepAliveMs?.let { (it * KEEP_ALIVE_FRACTION).toLong() } ?: DEFAULT_KEEP_ALIVE_MS
        while (pool.isNotEmpty() && isExpired(pool.first(), nowNs)) pool.removeFirst().channel.close()
        if (pool.size >= MAX_POOL_SIZE) channel.close() else pool.addLast(PooledConnection(channel, nowNs, nowNs + usableMs * NS_PER_MS))
    }

    /** Prefers the most recently used connection, since it is the most likely to be still open. */
    private fun takeIdle(address: HttpAddress, maxIdleMs: Long): Channel? {
        val pool = idleConnections[address] ?: return null
        val nowNs = System.nanoTime()
        while (true) {
            val last = pool.lastOrNull() ?: return null
            if ((nowNs - last.idleSinceNs) / NS_PER_MS > maxIdleMs) return null
            pool.removeLast()
            if (last.channel.isActive && !isExpired(last, nowNs)) return last.channel
            last.channel.close()
        }
    }

    private fun isExpired(connection: PooledConnection, nowNs: Long) = !connection.channel.isActive || nowNs > connection.expiresAtNs

    private fun connect(address: HttpAddress, call: ClientCall, connectTimeoutMs: Long) {
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_TURN))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs.coerceAtLeast(1).toInt())
                .handler(initializer())
        bootstrap.connect(address.host, address.port).addListener { future ->
            if (future.isSuccess) call.sendOn((future as ChannelFuture).channel(), reused = false) else call.failUnsent(future.cause())
        }
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(ch: SocketChannel) {
                val decoder = ResponseDecoder(limits)
                ch.pipeline().addLast(
                    UnsolicitedBytesCheck(),
                    ConnectionEndCheck(),
                    decoder,
                    HttpRequestEncoder(),
                    FramingCheck(),
                    ResponseAssembler(limits.maxBodyBytes, budget),
                    ClientConnection(this@HttpConnector, decoder),
                )
            }
        }

    private companion object {
        const val MAX_POOL_SIZE = 512

        /** Reads of one connection before the event loop turns to the others: a server may write faster than its bytes are decoded. */
        const val READS_PER_TURN = 1

        /** Size up to which a response is read to its end while others exhaust the receive budget; one read of a socket. */
        const val SMALL_RESPONSE_BYTES = 65_536L

        /** Fraction of the announced keep-alive timeout for which a connection is reused, since the server may close it slightly early. */
        const val KEEP_ALIVE_FRACTION = 0.7

        /** Time for which an idle connection is reused when the server announces no keep-alive timeout. */
        const val DEFAULT_KEEP_ALIVE_MS = 4_000L
        const val NS_PER_MS = 1_000_000L
    }
}
