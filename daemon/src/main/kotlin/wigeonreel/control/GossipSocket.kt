package wigeonreel.control

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import wigeonreel.codec.decodeGossip
import wigeonreel.codec.encode
import wigeonreel.kernel.Log
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.OutgoingDatagram
import wigeonreel.membership.PeerAddress
import java.net.InetSocketAddress

/** UDP socket of the membership protocol. */
class GossipSocket(
    private val loop: EventLoopGroup,
    private val address: InetSocketAddress,
    private val onMessage: (GossipMessage, PeerAddress) -> Unit,
) {
    private val log = Log("gossip")
    private var channel: Channel? = null

    /** Number of bytes sent since the process started. */
    @Volatile
    var sentBytes = 0L
        private set

    /** Number of bytes received since the process started. */
    @Volatile
    var receivedBytes = 0L
        private set

    /** Binds the socket; blocks until it is bound. */
    fun open() {
        channel =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .handler(receiver())
                .bind(address)
                .sync()
                .channel()
    }

    /** Sends datagrams without delivery guarantee; the protocol tolerates loss. Does nothing before [open]. */
    fun send(outgoing: List<OutgoingDatagram>) {
        val socket = channel ?: return
        for (datagram in outgoing) {
            val bytes = datagram.message.encode()
            sentBytes += bytes.size
            socket.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(datagram.to.host, datagram.to.port)))
        }
        socket.flush()
    }

    fun close() {
        channel?.close()
    }

    private fun receiver() =
        object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
                val bytes = ByteArray(packet.content().readableBytes()).also { packet.content().readBytes(it) }
                receivedBytes += bytes.size
                val sender = packet.sender()
                decodeGossip(bytes).fold({ log.warn(it.message) }, { onMessage(it, PeerAddress(sender.address.hostAddress, sender.port)) })
            }
        }
}
