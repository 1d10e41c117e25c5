package wigeonreel.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.AttributeKey
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Channel attribute: the call in progress on a connection. */
internal val CALL: AttributeKey<ClientCall> = AttributeKey.valueOf("wigeonreel.call")

/** One request in progress; its callback is called exactly once. */
internal class ClientCall(
    private val request: HttpRequest,
    val address: HttpAddress,
    private val options: SendOptions,
    private val onResult: (HttpResult) -> Unit,
) {
    private var droppedResponses = 0

    /** Whether interim responses or responses to other requests were dropped; the connection is then not reused. */
    val hasDroppedResponses: Boolean get() = droppedResponses > 0

    /** Whether more responses were dropped than a few late ones can explain. */
    val exceedsDroppedLimit: Boolean get() = droppedResponses > MAX_DROPPED_RESPONSES

    private var channel: Channel? = null
    private var timer: ScheduledFuture<*>? = null
    private var reused = false
    private var done = false

    fun startTimer(loop: EventLoop, timeoutMs: Long) {
        timer = loop.schedule({ fail(LostReason.TIMED_OUT) }, timeoutMs, TimeUnit.MILLISECONDS)
    }

    /** Sends the request on [channel], which had carried another request if [reused]. */
    fun sendOn(channel: Channel, reused: Boolean) {
        if (done) {
            channel.close()
            return
        }
        this.channel = channel
        this.reused = reused
        channel.attr(CALL).set(this)
        channel.writeAndFlush(toNetty())
    }

    val acceptsCloseDelimited: Boolean get() = options.acceptsCloseDelimited

    val isHead: Boolean get() = request.method == HttpMethod.HEAD.name()

    /** Returns whether [response] is the final response to this call; interim responses are foreign, and foreign ones are counted. */
    fun match(response: HttpResponse): ResponseMatch {
        val match = if (response.status < FIRST_FINAL_STATUS) ResponseMatch.FOREIGN else options.match(response, reused)
        if (match == ResponseMatch.FOREIGN) droppedResponses++
        return match
    }

    fun failUnsent(cause: Throwable) = complete(HttpResult.NotSent(cause.javaClass.simpleName))

    fun succeed(response: HttpResponse) = complete(HttpResult.Answer(response))

    /** Ends the call without a response; without an established connection, the request can't have reached the server. */
    fun fail(reason: LostReason, detail: String? = null) {
        val connection = channel
        complete(if (connection == null) HttpResult.NotSent(reason.name) else HttpResult.Lost(reason, detail))
        connection?.takeIf { it.attr(CALL).get() === this }?.close()
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

        /** Maximum number of interim responses and responses to other requests that are skipped before the call fails. */
        const val MAX_DROPPED_RESPONSES = 8
    }
}
