package wigeonreel.standin

import arrow.core.Either
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpLimits
import wigeonreel.http.eventLoop
import wigeonreel.platform.HttpTableService
import wigeonreel.store.RowName
import wigeonreel.store.StoreError
import wigeonreel.store.StoreVersion
import wigeonreel.store.TableService
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Broken answers of the store over real sockets: a read, a write and a watch fail with their outcome unknown. */
class BrokenStoreAnswerTest {
    private val loop = eventLoop("test")

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
    }

    private class Call(
        val name: String,
        val send: TableService.((Either<StoreError, Any>) -> Unit) -> Unit,
    )

    private val calls =
        listOf(
            Call("read") { read(ROW, null, it) },
            Call("write") { write(ROW, "value", null, it) },
            Call("watch") { watch("t", StoreVersion(1, StoreVersion.NO_ERA), 500, it) },
        )

    @TestFactory
    fun `a broken answer of the store is read`() =
        listOf(
            BrokenResponse("no length", "HTTP/1.1 200 OK\r\n\r\n", ROWS),
            BrokenResponse("reset in the body", "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n", ROWS, resets = true),
            BrokenResponse("closed in the body", "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n", ROWS),
            BrokenResponse("chunk size of 2^32", "$CHUNKED${chunk(ROWS)}100000000\r\n\r\n"),
            BrokenResponse("status 000", "HTTP/1.1 000 OK\r\n$LENGTH\r\n", ROWS),
            BrokenResponse("status 2000", "HTTP/1.1 2000 OK\r\n$LENGTH\r\n", ROWS),
            BrokenResponse("status with a sign", "HTTP/1.1 +200 OK\r\n$LENGTH\r\n", ROWS),
            BrokenResponse("blank in a field name", "HTTP/1.1 200 OK\r\nX Pad: x\r\n$LENGTH\r\n", ROWS),
            BrokenResponse("tab after a field name", "HTTP/1.1 200 OK\r\nX-Pad\t: x\r\n$LENGTH\r\n", ROWS),
            BrokenResponse("control byte in a value", "HTTP/1.1 200 OK\r\nX-Pad: x\u000c\r\n$LENGTH\r\n", ROWS),
            BrokenResponse("endless head", "HTTP/1.1 200 OK\r\nX-Pad: ", "x".repeat(999), isEndless = true),
            BrokenResponse("endless chunks", CHUNKED, chunk("x".repeat(999)), isEndless = true),
            BrokenResponse("endless interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(30), isEndless = true),
        ).flatMap { response -> calls.map { response to it } }
            .map { (response, call) ->
                DynamicTest.dynamicTest("${response.name}, ${call.name}") {
                    expectThat(resultOf(call, response).leftOrNull()).isA<StoreError.InDoubt>()
                }
            }

    private fun resultOf(call: Call, response: BrokenResponse): Either<StoreError, Any> {
        val port = freePort()
        return BrokenServer(port) { response }.use {
            val table =
                HttpTableService(HttpConnector(loop, HttpLimits(maxBodyBytes = MAX_BODY_BYTES)), HttpAddress("127.0.0.1", port), TIMEOUT_MS)
            val done = CompletableFuture<Either<StoreError, Any>>()
            loop.execute { call.send(table) { result -> done.complete(result) } }
            done.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private companion object {
        const val TIMEOUT_MS = 10_000L
        const val MAX_BODY_BYTES = 100_000
        val ROW = RowName("t", "k")
        const val ROWS = """{"rows":[{"table":"t","key":"k","value":"dg==","ver":5}],"ver":5}"""
        const val LENGTH = "Content-Length: ${ROWS.length}\r\n"
        const val CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    }
}
