package wigeonreel.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.TooLongFrameException
import java.io.IOException

/** Handles the responses received on one connection to a server. */
internal class ClientConnection(
    private val connector: HttpConnector,
    private val decoder: ResponseDecoder,
) : SimpleChannelInboundHandler<ReceivedResponse>() {
    override fun channelRead0(ctx: ChannelHandlerContext, message: ReceivedResponse) {
        val call = ctx.channel().attr(CALL).get() ?: return onBroken(ctx, null)
        when (call.match(message.response)) {
            ResponseMatch.OWN -> onOwnResponse(ctx, call, message)
            ResponseMatch.FOREIGN -> onDropped(ctx, call, message.response)
            ResponseMatch.AMBIGUOUS -> onBroken(ctx, call)
        }
    }

    private fun onOwnResponse(ctx: ChannelHandlerContext, call: ClientCall, message: ReceivedResponse) {
        val response = message.response
        ctx.channel().attr(CALL).set(null)
        val reusable = !message.isLast && !call.hasDroppedResponses && !decoder.hasLeftover
        if (reusable) connector.release(call.address, ctx.channel(), keepAliveMs(response)) else ctx.close()
        call.succeed(response)
    }

    /** Fails the call if too many responses were dropped, or after 101, since the bytes that follow it are not HTTP. */
    private fun onDropped(ctx: ChannelHandlerContext, call: ClientCall, response: HttpResponse) {
        if (call.exceedsDroppedLimit || response.status == SWITCHING_PROTOCOLS) onBroken(ctx, call)
    }

    private fun onBroken(ctx: ChannelHandlerContext, call: ClientCall?) {
        call?.fail(LostReason.TRUNCATED)
        ctx.close()
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
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = onError(ctx, cause)

    private fun onError(ctx: ChannelHandlerContext, cause: Throwable) {
        val reason =
            when (cause) {
                is TooLongFrameException -> LostReason.TOO_LARGE
                is MalformedResponseException -> LostReason.MALFORMED
                is IOException -> LostReason.RESET
                else -> LostReason.CLOSED
            }
        ctx
            .channel()
            .attr(CALL)
            .getAndSet(null)
            ?.fail(reason, cause.message.takeIf { cause is DecoderException })
        ctx.close()
    }

    private companion object {
        const val SWITCHING_PROTOCOLS = 101
        const val MS_PER_SECOND = 1_000L
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
