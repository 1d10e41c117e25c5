package wigeonreel.ctl

import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import wigeonreel.http.eventLoop
import java.util.concurrent.CompletableFuture

/** HTTP client of a daemon's admin API. */
internal class AdminClient(
    private val address: HttpAddress,
) {
    private val loop = eventLoop("admin-client")
    private val connector = HttpConnector(loop)

    /** Sends a request and waits for its result, at most [TIMEOUT_MS]. */
    fun call(method: String, uri: String, body: String = ""): HttpResult {
        val done = CompletableFuture<HttpResult>()
        loop.execute {
            connector.send(
                address,
                HttpRequest(method, uri, body = body.encodeToByteArray()),
                TIMEOUT_MS,
            ) { done.complete(it) }
        }
        return done.get()
    }

    private companion object {
        const val TIMEOUT_MS = 15_000L
    }
}
