package wigeonreel.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.timeout.IdleStateHandler
import wigeonreel.kernel.Service
import java.util.concurrent.TimeUnit

/** HTTP/1.1 server on one address; requests on one connection are handled sequentially. */
class HttpListener(
    override val name: String,
    private val loop: EventLoopGroup,
    private val host: String,
    private val port: Int,
    private val limits: HttpLimits,
    private val handler: HttpHandler,
) : Service {
    private var channel: Channel? = null
    private val open = OpenRequests()

    /** Number of requests whose response is not yet written completely; must be read on the thread of [loop]. */
    val openRequests: Int get() = open.count

    override fun start() {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
        channel = bootstrap.bind(host, port).sync().channel()
    }

    /** Closes the listening socket and waits until its address is free. */
    override fun stop() {
        val listening = channel ?: return
        listening.close().sync()
        // The JDK closes a registered socket in the next selection only; a delayed task runs after one.
        loop.schedule({ }, 1, TimeUnit.MILLISECONDS).sync()
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(ch: SocketChannel) {
                val aggregator = RequestAggregator(limits.maxBodyBytes, handler)
                ch.pipeline().addLast(
                    IdleStateHandler(0, 0, limits.idleTimeoutMs, TimeUnit.MILLISECONDS),
                    HttpRequestDecoder(limits.maxRequestLineBytes, limits.maxHeaderBytes, CHUNK_BYTES),
                    HttpResponseEncoder(),
                    aggregator,
                    ServerConnection(handler, open) { aggregator.headArrivedNs },
                )
            }
        }

    private companion object {
        const val BACKLOG = 1_024
        const val CHUNK_BYTES = 8_192
    }
}
