package wigeonreel.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import io.netty.handler.codec.http.HttpResponse as NettyHttpResponse

/**
 * Rejects close-delimited responses, whose end can't be distinguished from a truncation, unless the call accepts them.
 *
 * An accepted close-delimited response ends when the server closes its connection; see [ConnectionEndCheck] for other ends.
 */
internal class FramingCheck : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is NettyHttpResponse) checkTransferCoding(message)
        if (message is NettyHttpResponse && !isFramed(message)) {
            val call = ctx.channel().attr(CALL).get()
            if (call?.acceptsCloseDelimited != true) {
                call?.fail(LostReason.TRUNCATED)
                ctx.close()
                return
            }
            HttpUtil.setKeepAlive(message, false)
        }
        ctx.fireChannelRead(message)
    }

    /** Chunks are the only transfer coding that can be decoded, and HTTP/1.0 has none. */
    private fun checkTransferCoding(response: NettyHttpResponse) {
        val codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isChunked = codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.single())
        if (codings.all { HttpHeaderValues.IDENTITY.contentEqualsIgnoreCase(it) } ||
            (isChunked && response.protocolVersion() != HttpVersion.HTTP_1_0)
        ) {
            return
        }
        throw MalformedResponseException("unsupported transfer coding")
    }

    private fun isFramed(response: NettyHttpResponse) =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response) || response.status().code() in BODILESS

    private companion object {
        val BODILESS = setOf(204, 304)
    }
}

/** Closes the connection when bytes arrive while no request is in progress on it, since they belong to no request. */
internal class UnsolicitedBytesCheck : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (ctx.channel().attr(CALL).get() != null) {
            ctx.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        ctx.close()
    }
}

/**
 * Closes the connection when the server has ended its output, and fails the call if the connection ends in any other way.
 *
 * The decoder takes every end of the connection for the end of a close-delimited response. A write that fails closes the
 * connection before its reset is read. With half closure, only an orderly close is reported as the end of the input.
 */
internal class ConnectionEndCheck : ChannelInboundHandlerAdapter() {
    private var inputEnded = false

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) {
            ctx.fireUserEventTriggered(event)
            return
        }
        inputEnded = true
        ctx.fireUserEventTriggered(event)
        ctx.close()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        if (!inputEnded) {
            ctx
                .channel()
                .attr(CALL)
                .getAndSet(null)
                ?.fail(LostReason.RESET)
        }
        ctx.fireChannelInactive()
    }
}
