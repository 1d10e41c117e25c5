package wigeonreel.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.HttpMessage as NettyHttpMessage
import io.netty.handler.codec.http.HttpResponse as NettyHttpResponse

private const val MAX_PIECE_BYTES = 8_192

/**
 * Decodes responses and detects bytes received after the latest complete response.
 *
 * Netty's decoder skips what it does not expect, e.g. the rest of a field name after a blank. So it only gets heads of valid
 * syntax, and chunks are decoded here. Trailers are checked and dropped.
 */
internal class ResponseDecoder(
    private val limits: HttpLimits,
) : HttpResponseDecoder(limits.maxRequestLineBytes, limits.maxHeaderBytes, MAX_PIECE_BYTES) {
    private enum class Part { HEAD, BODY, CHUNKS }

    private val headScanner = LineBlockScanner(limits.maxRequestLineBytes + limits.maxHeaderBytes)
    private var channel: Channel? = null
    private var part = Part.HEAD
    private var chunks = ChunkDecoder(limits)

    /** Whether undecoded bytes follow the latest complete response. */
    val hasLeftover: Boolean get() = actualReadableBytes() > 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) =
        when (part) {
            Part.HEAD -> decodeHead(ctx, buffer, out)
            Part.BODY -> decodeRest(ctx, buffer, out)
            Part.CHUNKS -> decodeChunks(ctx, buffer, out)
        }

    private fun decodeHead(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val length = headScanner.lengthIn(buffer)
        if (length < 0) return
        ResponseSyntax.checkHead(ByteBufUtil.getBytes(buffer, buffer.readerIndex(), length))
        decodeRest(ctx, buffer, out)
    }

    private fun decodeRest(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(ctx, buffer, out)
        for (message in out) {
            if (message is NettyHttpResponse) part = if (HttpUtil.isTransferEncodingChunked(message)) Part.CHUNKS else Part.BODY
            if (message is LastHttpContent) part = Part.HEAD
        }
    }

    private fun decodeChunks(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val data = ctx.alloc().buffer(buffer.readableBytes())
        val isEnd =
            try {
                chunks.decode(buffer, data)
            } catch (malformed: Exception) {
                data.release()
                throw malformed
            }
        if (data.isReadable) out += DefaultHttpContent(data) else data.release()
        if (!isEnd) return
        out += LastHttpContent.EMPTY_LAST_CONTENT
        reset()
        chunks = ChunkDecoder(limits)
        part = Part.HEAD
    }

    /** The response to a HEAD request has no body, whatever its Content-Length. */
    override fun isContentAlwaysEmpty(message: NettyHttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || channel?.attr(CALL)?.get()?.isHead == true
}
