package wigeonreel.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec

/** Address of an HTTP server. */
data class HttpAddress(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Reads `host:port`; returns null when the text is not of that form. */
        fun parse(text: String): HttpAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else HttpAddress(host, port)
        }
    }
}

/** Request in progress that can be given up. */
fun interface Cancellable {
    /** Gives the request up; its connection is closed, which tells the server. */
    fun cancel()
}

/**
 * HTTP/1.1 client with kept connections, one request at a time on each.
 *
 * Calls, answers and callbacks belong to the thread of [loop].
 */
class HttpConnector(
    private val loop: EventLoopGroup,
    private val limits: HttpLimits = HttpLimits(),
) {
    private val idle = HashMap<HttpAddress, ArrayDeque<Channel>>()

    /** Sends [request] and calls [onResult] once, within [timeoutMs]. */
    fun send(address: HttpAddress, request: HttpRequest, timeoutMs: Long, onResult: (HttpResult) -> Unit): Cancellable {
        val call = ClientCall(request, address, onResult)
        call.startTimer(loop.next(), timeoutMs)
        val kept = takeIdle(address)
        if (kept != null) call.begin(kept) else connect(address, call, timeoutMs)
        return Cancellable { call.fail(LostReason.CANCELLED) }
    }

    /** Closes all idle connections. */
    fun close() {
        idle.values.forEach { channels -> channels.forEach { it.close() } }
        idle.clear()
    }

    internal fun release(address: HttpAddress, channel: Channel) {
        val channels = idle.getOrPut(address) { ArrayDeque() }
        if (channels.size >= MAX_IDLE) channel.close() else channels.addLast(channel)
    }

    private fun takeIdle(address: HttpAddress): Channel? {
        val channels = idle[address] ?: return null
        while (true) {
            val channel = channels.removeLastOrNull() ?: return null
            if (channel.isActive) return channel
        }
    }

    private fun connect(address: HttpAddress, call: ClientCall, timeoutMs: Long) {
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs.coerceIn(1, MAX_CONNECT_MS).toInt())
                .handler(initializer())
        bootstrap.connect(address.host, address.port).addListener { future ->
            if (future.isSuccess) call.begin((future as ChannelFuture).channel()) else call.notSent(future.cause())
        }
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(ch: SocketChannel) {
                ch.pipeline().addLast(
                    HttpClientCodec(limits.maxRequestLineBytes, limits.maxHeaderBytes, CHUNK_BYTES),
                    FramingCheck(),
                    ResponseAggregator(limits.maxBodyBytes),
                    ClientConnection(this@HttpConnector),
                )
            }
        }

    private companion object {
        const val MAX_IDLE = 512
        const val MAX_CONNECT_MS = 2_000L
        const val CHUNK_BYTES = 8_192
    }
}
