package wigeonreel.peer

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import wigeonreel.http.eventLoop
import wigeonreel.membership.PeerAddress
import wigeonreel.wire.BlockReply
import wigeonreel.wire.BlockRequest
import wigeonreel.wire.BorrowReply
import wigeonreel.wire.BorrowRequest
import wigeonreel.wire.ConfigDelta
import wigeonreel.wire.ConfigReceipt
import wigeonreel.wire.FetchConfigRequest
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.TokenGrants
import wigeonreel.wire.TokenRequest
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class PeerEndpointTest {
    private val loop = eventLoop("endpoint")
    private val clientLoop = eventLoop("client")
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    /** Handler that never replies to a forwarded request. */
    private class SilentHandler(
        val received: CompletableFuture<String>,
    ) : PeerHandler {
        override fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit {
            received.complete(request.attemptId)
            return {}
        }

        override fun block(request: BlockRequest): BlockReply = BlockReply.getDefaultInstance()

        override fun grantTokens(request: TokenRequest): TokenGrants = TokenGrants.getDefaultInstance()

        override fun borrow(request: BorrowRequest): BorrowReply = BorrowReply.getDefaultInstance()

        override fun fetchConfig(request: FetchConfigRequest): ConfigDelta = ConfigDelta.getDefaultInstance()

        override fun offerConfig(delta: ConfigDelta, onReceipt: (ConfigReceipt) -> Unit) = onReceipt(ConfigReceipt.getDefaultInstance())
    }

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
        clientLoop.shutdownGracefully()
    }

    @Test
    fun `an endpoint that stops leaves its peers waiting for replies on open streams`() {
        val received = CompletableFuture<String>()
        val endpoint = PeerEndpoint(loop, InetSocketAddress("127.0.0.1", port), 1_000_000, SilentHandler(received))
        endpoint.start()
        val peers = PeerClients(clientLoop, 1_000_000)
        val answer = CompletableFuture<PeerFailure?>()
        val request = ForwardRequest.newBuilder().setAttemptId("a").build()
        clientLoop.execute { peers.forward(PeerAddress("127.0.0.1", port), request, 60_000) { _, failure -> answer.complete(failure) } }
        expectThat(received.get(10, TimeUnit.SECONDS)).isEqualTo("a")
        endpoint.stop()
        expectThat(answer.get(10, TimeUnit.SECONDS)).isEqualTo(PeerFailure.LOST)
    }
}
