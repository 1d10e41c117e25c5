package wigeonreel.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import io.netty.handler.codec.http.HttpMessage as NettyHttpMessage
import io.netty.handler.codec.http.HttpResponse as NettyHttpResponse

private const val CHUNK_BYTES = 8_192
private val CALL = AttributeKey.valueOf<ClientCall>("wigeonreel.call")

/** One request on its way; its callback is called exactly once. */
internal class ClientCall(
    private val request: HttpRequest,
    val address: HttpAddress,
    private val options: SendOptions,
    private val onResult: (HttpResult) -> Unit,
) {
    private var droppedAnswers = 0

    /** Whether an answer to some other request came; the connection is not used again then. */
    val sawForeignAnswer: Boolean get() = droppedAnswers > 0

    /** Whether more answers came that are not the one to this request than a late one or two explain. */
    val isFlooded: Boolean get() = droppedAnswers > MAX_DROPPED_ANSWERS

    private var channel: Channel? = null
    private var timer: ScheduledFuture<*>? = null
    private var done = false

    fun startTimer(loop: EventLoop, timeoutMs: Long) {
        timer = loop.schedule({ fail(LostReason.TIMED_OUT) }, timeoutMs, TimeUnit.MILLISECONDS)
    }

    fun begin(channel: Channel) {
        if (done) {
            channel.close()
            return
        }
        this.channel = channel
        channel.attr(CALL).set(this)
        channel.writeAndFlush(toNetty())
    }

    val acceptsUnframed: Boolean get() = options.acceptsUnframed

    val isHead: Boolean get() = request.method == HttpMethod.HEAD.name()

    /** Whether [response] answers this call; an interim answer is not the final one. */
    fun accepts(response: HttpResponse): Boolean {
        val accepted = response.status >= FIRST_FINAL_STATUS && options.belongs(response)
        if (!accepted) droppedAnswers++
        return accepted
    }

    fun notSent(cause: Throwable) = complete(HttpResult.NotSent(cause.javaClass.simpleName))

    fun answered(response: HttpResponse) = complete(HttpResult.Answer(response))

    /** Ends the call without an answer; before a connection stands, nothing can have reached the server. */
    fun fail(reason: LostReason) {
        val used = channel
        complete(if (used == null) HttpResult.NotSent(reason.name) else HttpResult.Lost(reason))
        used?.takeIf { it.attr(CALL).get() === this }?.close()
    }

    private fun complete(result: HttpResult) {
        if (done) return
        done = true
        timer?.cancel(false)
        onResult(result)
    }

    private fun toNetty(): DefaultFullHttpRequest {
        val content = Unpooled.wrappedBuffer(request.body)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.uri, content)
        request.headers.filterNot { it.isHopByHop }.forEach { message.headers().add(it.name, it.value) }
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        if (!message.headers().contains(HttpHeaderNames.HOST)) message.headers().set(HttpHeaderNames.HOST, address.toString())
        return message
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200

        /** Answers to other requests and interim ones that are skipped while the own one is awaited. */
        const val MAX_DROPPED_ANSWERS = 8
    }
}

/**
 * Refuses answers without a length, since their end can't be told from a cut, unless the call accepts them.
 *
 * An accepted one ends with its connection. A connection that is reset fails its call before the decoder reports the
 * end, so an answer that was cut by a reset is never taken as whole.
 */
internal class FramingCheck : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is NettyHttpResponse && !framed(message)) {
            val call = ctx.channel().attr(CALL).get()
            if (call?.acceptsUnframed != true) {
                call?.fail(LostReason.TRUNCATED)
                ctx.close()
                return
            }
            HttpUtil.setKeepAlive(message, false)
        }
        ctx.fireChannelRead(message)
    }

    private fun framed(response: NettyHttpResponse) =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response) || response.status().code() in NO_BODY

    private companion object {
        val NO_BODY = setOf(204, 304)
    }
}

/** Decodes answers and knows whether bytes are left over behind the latest one. */
internal class AnswerDecoder(
    limits: HttpLimits,
) : HttpResponseDecoder(limits.maxRequestLineBytes, limits.maxHeaderBytes, CHUNK_BYTES) {
    private var channel: Channel? = null

    /** Whether bytes came behind the latest whole answer. */
    val hasLeftover: Boolean get() = actualReadableBytes() > 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** The answer to a HEAD request has no body, whatever length it names. */
    override fun isContentAlwaysEmpty(message: NettyHttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || channel?.attr(CALL)?.get()?.isHead == true
}

/** Lets bytes in only while a request waits for its answer; others belong to no request and end the connection. */
internal class UnaskedBytesCheck : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (ctx.channel().attr(CALL).get() != null) {
            ctx.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        ctx.close()
    }
}

/** Counts the bytes of an unfinished answer against the budget of its connector. */
internal class ReceiveAccount(
    private val budget: ReceiveBudget,
) : ChannelInboundHandlerAdapter(),
    Receiver {
    private var channel: Channel? = null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    override fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is HttpContent) budget.onReceived(this, message.content().readableBytes())
        if (message is LastHttpContent) budget.release(this)
        ctx.fireChannelRead(message)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        budget.release(this)
        ctx.fireChannelInactive()
    }
}

/** Gathers answers up to a bound. */
internal class ResponseAggregator(
    maxBodyBytes: Int,
) : HttpObjectAggregator(maxBodyBytes) {
    override fun handleOversizedMessage(ctx: ChannelHandlerContext, oversized: NettyHttpMessage) {
        ctx
            .channel()
            .attr(CALL)
            .get()
            ?.fail(LostReason.TOO_LARGE)
        ctx.close()
    }
}

/** One connection to a server. */
internal class ClientConnection(
    private val connector: HttpConnector,
    private val decoder: AnswerDecoder,
) : SimpleChannelInboundHandler<FullHttpResponse>() {
    override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpResponse) {
        val call = ctx.channel().attr(CALL).get()
        if (call == null || !message.decoderResult().isSuccess) {
            call?.fail(LostReason.TRUNCATED)
            ctx.close()
            return
        }
        val response = message.toResponse()
        if (!call.accepts(response)) return onDropped(ctx, call, response)
        ctx.channel().attr(CALL).set(null)
        val keep = HttpUtil.isKeepAlive(message) && !call.sawForeignAnswer && !decoder.hasLeftover
        if (keep) connector.release(call.address, ctx.channel(), keepAliveMs(response)) else ctx.close()
        call.answered(response)
    }

    /** What follows a change of protocol is no HTTP any more. */
    private fun onDropped(ctx: ChannelHandlerContext, call: ClientCall, response: HttpResponse) {
        if (!call.isFlooded && response.status != SWITCHING_PROTOCOLS) return
        call.fail(LostReason.TRUNCATED)
        ctx.close()
    }

    private fun FullHttpResponse.toResponse(): HttpResponse {
        val body = ByteArray(content().readableBytes()).also { content().readBytes(it) }
        return HttpResponse(status().code(), headers().map { HttpHeader(it.key, it.value) }, body)
    }

    private fun keepAliveMs(response: HttpResponse): Long? {
        val seconds =
            response.header("Keep-Alive")?.let {
                KEEP_ALIVE_TIMEOUT
                    .find(it)
                    ?.groupValues
                    ?.get(1)
                    ?.toLongOrNull()
            }
        return seconds?.times(MS_PER_SECOND)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        ctx
            .channel()
            .attr(CALL)
            .getAndSet(null)
            ?.fail(LostReason.CLOSED)
    }

    @Deprecated("Netty's signature")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        val reason = if (cause is TooLongFrameException) LostReason.TOO_LARGE else LostReason.CLOSED
        ctx
            .channel()
            .attr(CALL)
            .getAndSet(null)
            ?.fail(reason)
        ctx.close()
    }

    private companion object {
        const val SWITCHING_PROTOCOLS = 101
        const val MS_PER_SECOND = 1_000L
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
