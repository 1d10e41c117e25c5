package wigeonreel.mesh

import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpResponse
import wigeonreel.http.textResponse

/** Answers every request with the current content of [page]. */
internal class PageHandler(
    private val page: () -> HttpResponse,
) : HttpHandler {
    override fun handle(exchange: HttpExchange) = exchange.respond(page())

    override fun reject(fault: HttpFault): HttpResponse = textResponse(400, "malformed request")
}
