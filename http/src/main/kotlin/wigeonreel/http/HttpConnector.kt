package wigeonreel.http

import io.netty.bootstrap.Bootstrap
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

        /** Reads `host:port`; returns null when the text is not of that form. */
        fun parse(text: String): HttpAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isEmpty() || port !in 1..MAX_PORT) null else HttpAddress(host, port)
        }
    }
}

private const val MAX_CONNECT_MS = 2_000L

/**
 * How a request is sent.
 *
 * @param maxIdleMs longest time for which a kept connection may have been idle to be used; a server may be closing an older one.
 * @param connectMs longest time for a new connection.
 * @param acceptsUnframed whether an answer without a length, which ends with its connection, is taken.
 * @param belongs whether an answer is the one to this request; others are dropped.
 */
class SendOptions(
    val maxIdleMs: Long = Long.MAX_VALUE,
    val connectMs: Long = MAX_CONNECT_MS,
    val acceptsUnframed: Boolean = false,
    val belongs: (HttpResponse) -> Boolean = { true },
)

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
    private class Kept(
        val channel: Channel,
        val sinceNs: Long,
        val untilNs: Long,
    )

    private val idle = HashMap<HttpAddress, ArrayDeque<Kept>>()
    private val budget = ReceiveBudget(limits.maxUnfinishedBytes)

    /** Sends [request] and calls [onResult] once, within [timeoutMs]. */
    fun send(
        address: HttpAddress,
        request: HttpRequest,
        timeoutMs: Long,
        options: SendOptions = SendOptions(),
        onResult: (HttpResult) -> Unit,
    ): Cancellable {
        val call = ClientCall(request, address, options, onResult)
        call.startTimer(loop.next(), timeoutMs)
        val kept = takeIdle(address, options.maxIdleMs)
        if (kept != null) call.begin(kept) else connect(address, call, minOf(timeoutMs, options.connectMs))
        return Cancellable { call.fail(LostReason.CANCELLED) }
    }

    /** Closes all idle connections. */
    fun close() {
        idle.values.forEach { kept -> kept.forEach { it.channel.close() } }
        idle.clear()
    }

    /** Keeps a connection; [keepAliveMs] is the time for which the server says that it keeps it. */
    internal fun release(address: HttpAddress, channel: Channel, keepAliveMs: Long?) {
        val kept = idle.getOrPut(address) { ArrayDeque() }
        val nowNs = System.nanoTime()
        val usableMs = keepAliveMs?.let { (it * KEEP_ALIVE_SHARE).toLong() } ?: DEFAULT_KEEP_MS
        while (kept.isNotEmpty() && expired(kept.first(), nowNs)) kept.removeFirst().channel.close()
        if (kept.size >= MAX_IDLE) channel.close() else kept.addLast(Kept(channel, nowNs, nowNs + usableMs * NS_PER_MS))
    }

    /** The connection used last is the surest to be still open. */
    private fun takeIdle(address: HttpAddress, maxIdleMs: Long): Channel? {
        val kept = idle[address] ?: return null
        val nowNs = System.nanoTime()
        while (true) {
            val last = kept.lastOrNull() ?: return null
            if ((nowNs - last.sinceNs) / NS_PER_MS > maxIdleMs) return null
            kept.removeLast()
            if (last.channel.isActive && !expired(last, nowNs)) return last.channel
            last.channel.close()
        }
    }

    private fun expired(kept: Kept, nowNs: Long) = !kept.channel.isActive || nowNs > kept.untilNs

    private fun connect(address: HttpAddress, call: ClientCall, connectMs: Long) {
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs.coerceAtLeast(1).toInt())
                .handler(initializer())
        bootstrap.connect(address.host, address.port).addListener { future ->
            if (future.isSuccess) call.begin((future as ChannelFuture).channel()) else call.notSent(future.cause())
        }
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(ch: SocketChannel) {
                val decoder = AnswerDecoder(limits)
                ch.pipeline().addLast(
                    UnaskedBytesCheck(),
                    decoder,
                    HttpRequestEncoder(),
                    FramingCheck(),
                    ReceiveAccount(budget),
                    ResponseAggregator(limits.maxBodyBytes),
                    ClientConnection(this@HttpConnector, decoder),
                )
            }
        }

    private companion object {
        const val MAX_IDLE = 512

        /** Share of the time that a server names for which its connection is used; it may close a little early. */
        const val KEEP_ALIVE_SHARE = 0.7

        /** Time for which a connection is used when the server names none, in milliseconds. */
        const val DEFAULT_KEEP_MS = 4_000L
        const val NS_PER_MS = 1_000_000L
    }
}
