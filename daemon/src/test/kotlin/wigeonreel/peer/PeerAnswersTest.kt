package wigeonreel.peer

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import wigeonreel.http.eventLoop
import wigeonreel.membership.PeerAddress
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome
import wigeonreel.wire.PeerGrpc
import wigeonreel.wire.RequestFrame
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Broken answers at the address of a peer, over real connections. */
class PeerAnswersTest {
    private val loop = eventLoop("client")
    private val peers = PeerClients(loop, MAX_MESSAGE_BYTES)

    @AfterEach
    fun stop() {
        loop.execute { peers.close() }
        loop.shutdownGracefully()
    }

    private class Reply(
        val name: String,
        val status: Int,
        val outcome: Outcome = Outcome.ANSWERED,
        val isPassedOn: Boolean = false,
    )

    @TestFactory
    fun `a reply that brings a response without a valid status is passed on`() =
        listOf(
            Reply("no status", 0),
            Reply("status 1", 1),
            Reply("interim status", 100),
            Reply("status 600", 600),
            Reply("status 2000", 2_000),
            Reply("status 200", 200, isPassedOn = true),
            Reply("status 599", 599, isPassedOn = true),
            Reply("refusal", 0, Outcome.NOT_RUN, isPassedOn = true),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val server = replyingPeer(case)
                val (reply, failure) = forward(server.port)
                server.shutdownNow()
                expectThat(reply != null).isEqualTo(case.isPassedOn)
                expectThat(failure).isEqualTo(if (case.isPassedOn) null else PeerFailure.LOST)
            }
        }

    private fun replyingPeer(case: Reply): Server {
        val service =
            object : PeerGrpc.PeerImplBase() {
                override fun exchange(responses: StreamObserver<ForwardReply>) =
                    object : StreamObserver<RequestFrame> {
                        override fun onNext(frame: RequestFrame) {
                            val reply = ForwardReply.newBuilder().setAttemptId(frame.forward.attemptId)
                            responses.onNext(reply.setStatus(case.status).setOutcome(case.outcome).build())
                        }

                        override fun onError(cause: Throwable) = Unit

                        override fun onCompleted() = responses.onCompleted()
                    }
            }
        return NettyServerBuilder
            .forAddress(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .addService(service)
            .build()
            .start()
    }

    /** Bytes that a peer writes once, and bytes that it writes after them until the connection is closed. */
    private class Endless(
        val name: String,
        val head: ByteArray,
        val unit: ByteArray,
    )

    @Tag("known-red")
    @TestFactory
    fun `endless bytes at the address of a peer are read without end`() =
        listOf(
            Endless("no HTTP 2", ByteArray(0), "x".repeat(999).encodeToByteArray()),
            Endless("HTTP 1 head", "HTTP/1.1 200 OK\r\nX-Pad: ".encodeToByteArray(), "x".repeat(999).encodeToByteArray()),
            Endless("settings", ByteArray(0), frame(SETTINGS, 0, 0, 0)),
            Endless("pings", frame(SETTINGS, 0, 0, 0), frame(PING, 0, 0, 8)),
            Endless("frames of an unknown type", frame(SETTINGS, 0, 0, 0), frame(UNKNOWN, 0, 0, 8_000)),
            Endless(
                "continued fields",
                frame(SETTINGS, 0, 0, 0) + frame(HEADERS, 0, 3, 10),
                frame(CONTINUATION, 0, 3, 8_000),
            ),
            Endless("data of a stream", frame(SETTINGS, 0, 0, 0), frame(DATA, 0, 3, 16_000)),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                ServerSocket(0, 8, InetAddress.getLoopbackAddress()).use { server ->
                    val written = CompletableFuture<Long>()
                    thread(isDaemon = true) { written.complete(flood(server, case)) }
                    val (_, failure) = forward(server.localPort)
                    expectThat(failure).isEqualTo(PeerFailure.LOST)
                    expectThat(written.get(WAIT_S, TimeUnit.SECONDS)).isLessThan(MAX_WRITTEN_BYTES)
                }
            }
        }

    private fun flood(server: ServerSocket, case: Endless): Long {
        var bytes = 0L
        server.accept().use { socket ->
            thread(isDaemon = true) { runCatching { while (socket.getInputStream().read(ByteArray(8_192)) >= 0) Unit } }
            try {
                socket.getOutputStream().write(case.head)
                while (bytes < MAX_WRITTEN_BYTES) {
                    socket.getOutputStream().write(case.unit)
                    bytes += case.unit.size
                }
            } catch (expected: IOException) {
                // The client has closed the connection.
            }
        }
        return bytes
    }

    private fun frame(type: Int, flags: Int, stream: Int, length: Int): ByteArray =
        byteArrayOf((length shr 16).toByte(), (length shr 8).toByte(), length.toByte(), type.toByte(), flags.toByte()) +
            byteArrayOf(0, 0, 0, stream.toByte()) + ByteArray(length)

    private fun forward(port: Int): Pair<ForwardReply?, PeerFailure?> {
        val done = CompletableFuture<Pair<ForwardReply?, PeerFailure?>>()
        val request = ForwardRequest.newBuilder().setAttemptId("a").build()
        loop.execute {
            peers.forward(
                PeerAddress("127.0.0.1", port),
                request,
                TIMEOUT_MS,
            ) { reply, cause -> done.complete(reply to cause) }
        }
        return done.get(WAIT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val MAX_MESSAGE_BYTES = 1_000_000
        const val TIMEOUT_MS = 10_000L
        const val WAIT_S = 30L

        /** Bytes after which the peer stops writing if the client has not closed the connection. */
        const val MAX_WRITTEN_BYTES = 10_000_000_000L
        const val DATA = 0
        const val HEADERS = 1
        const val SETTINGS = 4
        const val PING = 6
        const val CONTINUATION = 9
        const val UNKNOWN = 99
    }
}
