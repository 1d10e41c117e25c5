package wigeonreel.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.handler.timeout.IdleStateEvent
import io.netty.util.ReferenceCountUtil
import wigeonreel.kernel.Log
import java.io.IOException
import io.netty.handler.codec.http.HttpMessage as NettyHttpMessage
import io.netty.handler.codec.http.HttpRequest as NettyHttpRequest

/** Aggregates requests with a body of at most [maxBodyBytes] and answers larger ones as [HttpFault.BODY_TOO_LARGE]. */
internal class RequestAggregator(
    maxBodyBytes: Int,
    private val handler: HttpHandler,
) : HttpObjectAggregator(maxBodyBytes) {
    /** Time at which the head of the latest request arrived, in nanoseconds. */
    var headArrivedNs = System.nanoTime()
        private set

    override fun decode(ctx: ChannelHandlerContext, message: HttpObject, out: MutableList<Any>) {
        if (message is NettyHttpRequest) headArrivedNs = System.nanoTime()
        super.decode(ctx, message, out)
    }

    override fun handleOversizedMessage(ctx: ChannelHandlerContext, oversized: NettyHttpMessage) {
        ctx.writeAndFlush(toNetty(handler.reject(HttpFault.BODY_TOO_LARGE), close = true)).addListener(ChannelFutureListener.CLOSE)
    }
}

/** Number of requests of all connections of one listener that are handled or whose response is being written. */
internal class OpenRequests {
    var count = 0
        private set

    fun onStart() {
        count++
    }

    fun onEnd() {
        count--
    }
}

/** Handles one connection from a caller; pipelined requests are queued until the earlier ones are answered. */
internal class ServerConnection(
    private val handler: HttpHandler,
    private val open: OpenRequests,
    private val headArrivedNs: () -> Long,
) : SimpleChannelInboundHandler<FullHttpRequest>(false) {
    private class Queued(
        val message: FullHttpRequest,
        val headArrivedNs: Long,
    )

    private val queued = ArrayDeque<Queued>()
    private var current: Exchange? = null

    /** Whether the last response is being written; the connection is closed after it. */
    private var closing = false

    override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpRequest) {
        if (closing) {
            message.release()
            return
        }
        if (queued.size >= MAX_PIPELINED) {
            message.release()
            ctx.close()
            return
        }
        queued.addLast(Queued(message, headArrivedNs()))
        startNext(ctx)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        queued.forEach { ReferenceCountUtil.release(it.message) }
        queued.clear()
        current?.abort()
        current = null
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is IdleStateEvent && current == null) ctx.close()
    }

    @Deprecated("Netty's signature")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        val open = current
        if (cause is IOException || open == null) {
            if (cause !is IOException) log.error("connection closed after an unexpected error; report this", cause)
            ctx.close()
            return
        }
        log.error("request ended by an unexpected error; report this", cause)
        open.respond(handler.reject(HttpFault.INTERNAL_ERROR), close = true)
    }

    private fun startNext(ctx: ChannelHandlerContext) {
        if (current != null) return
        val next = queued.removeFirstOrNull() ?: return
        val message = next.message
        val receivingMs = (System.nanoTime() - next.headArrivedNs) / NS_PER_MS
        val exchange = Exchange(ctx, message.toRequest(), receivingMs, HttpUtil.isKeepAlive(message))
        val fault = faultOf(message)
        message.release()
        current = exchange
        open.onStart()
        if (fault == null) handler.handle(exchange) else exchange.respond(handler.reject(fault), close = true)
    }

    private fun faultOf(message: FullHttpRequest): HttpFault? {
        val result = message.decoderResult()
        return when {
            result.isSuccess -> null
            result.cause() is TooLongHttpHeaderException || result.cause() is TooLongHttpLineException -> HttpFault.HEADERS_TOO_LARGE
            else -> HttpFault.MALFORMED
        }
    }

    private inner class Exchange(
        private val ctx: ChannelHandlerContext,
        override val request: HttpRequest,
        override val receivingMs: Long,
        private val keepAlive: Boolean,
    ) : HttpExchange {
        private var answered = false
        private var onAbort: () -> Unit = {}

        override fun respond(response: HttpResponse, close: Boolean) {
            if (answered) return
            answered = true
            val last = close || !keepAlive
            closing = last
            val written = ctx.writeAndFlush(toNetty(response, last)).addListener { open.onEnd() }
            if (last) written.addListener(ChannelFutureListener.CLOSE)
            current = null
            if (!last) startNext(ctx)
        }

        override fun onAbort(action: () -> Unit) {
            onAbort = action
        }

        fun abort() {
            if (answered) return
            answered = true
            open.onEnd()
            onAbort()
        }
    }

    private companion object {
        const val MAX_PIPELINED = 16
        const val NS_PER_MS = 1_000_000L
        val log = Log("http")
    }
}

private fun FullHttpRequest.toRequest() =
    HttpRequest(
        method().name(),
        uri(),
        headers().map {
            HttpHeader(it.key, it.value)
        },
        ByteArray(content().readableBytes()).also { content().readBytes(it) },
    )

private fun toNetty(response: HttpResponse, close: Boolean): DefaultFullHttpResponse {
    val status = HttpResponseStatus.valueOf(response.status)
    val message = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(response.body))
    response.headers.filterNot { it.isHopByHop }.forEach { message.headers().add(it.name, it.value) }
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body.size)
    if (close) message.headers().set(HttpHeaderNames.CONNECTION, "close")
    return message
}

private val HOP_BY_HOP =
    headerNames(
        listOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
        ),
    )

/** Whether this header applies to a single connection and must not be forwarded. */
val HttpHeader.isHopByHop: Boolean get() = name in HOP_BY_HOP
