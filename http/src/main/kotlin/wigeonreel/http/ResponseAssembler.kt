package wigeonreel.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.HttpResponse as NettyHttpResponse

/** Complete response; [isLast] tells whether its connection closes after it. */
internal class ReceivedResponse(
    val response: HttpResponse,
    val isLast: Boolean,
)

/**
 * Assembles the decoded parts of responses into [ReceivedResponse]s with bodies of at most [maxBodyBytes].
 *
 * The body of an incomplete response is charged to [budget] and takes no more memory than it has bytes, however small the parts are
 * in which it arrives.
 */
internal class ResponseAssembler(
    private val maxBodyBytes: Int,
    private val budget: ReceiveBudget,
) : SimpleChannelInboundHandler<HttpObject>(),
    Receiver {
    private var channel: Channel? = null
    private var head: NettyHttpResponse? = null
    private var body = BodyBuffer()

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    override fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }

    override fun channelRead0(ctx: ChannelHandlerContext, message: HttpObject) {
        if (!message.decoderResult().isSuccess) throw MalformedResponseException(message.decoderResult().cause().toString())
        if (message is NettyHttpResponse) begin(ctx, message)
        val started = head ?: return
        if (message is HttpContent) append(message)
        if (message is LastHttpContent) finish(ctx, started)
    }

    private fun begin(ctx: ChannelHandlerContext, response: NettyHttpResponse) {
        val isEmpty =
            ctx
                .channel()
                .attr(CALL)
                .get()
                ?.isHead == true ||
                response.status().code() == NOT_MODIFIED
        if (!isEmpty && HttpUtil.getContentLength(response, 0L) > maxBodyBytes) throw tooLong()
        head = response
    }

    private fun append(content: HttpContent) {
        val bytes = content.content().readableBytes()
        if (bytes == 0) return
        if (body.size + bytes > maxBodyBytes) throw tooLong()
        budget.onReceived(this, bytes)
        body.append(content.content())
    }

    private fun finish(ctx: ChannelHandlerContext, started: NettyHttpResponse) {
        val headers = started.headers().map { HttpHeader(it.key, it.value) }
        val response = HttpResponse(started.status().code(), headers, body.toByteArray())
        release()
        ctx.fireChannelRead(ReceivedResponse(response, isLast = !HttpUtil.isKeepAlive(started)))
    }

    private fun release() {
        head = null
        body = BodyBuffer()
        budget.release(this)
    }

    private fun tooLong() = TooLongFrameException("body of more than $maxBodyBytes bytes")

    override fun channelInactive(ctx: ChannelHandlerContext) {
        release()
        ctx.fireChannelInactive()
    }

    private companion object {
        const val NOT_MODIFIED = 304
    }
}
