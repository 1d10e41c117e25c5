package wigeonreel.standin

import io.netty.channel.EventLoopGroup
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.jsonResponse
import wigeonreel.http.textResponse
import wigeonreel.platform.ScannedRow
import java.util.TreeMap
import java.util.concurrent.TimeUnit

/** Table service in memory: rows with versions and conditional writes, with faults that a scenario turns on. */
class TableStandin(
    private val loop: EventLoopGroup,
) : HttpHandler {
    private class StoredRow(
        val version: Long,
        val value: String,
    )

    private val tables = HashMap<String, TreeMap<String, StoredRow>>()
    private var faults = StoreFaults()
    private var reads = 0L
    private var writes = 0L
    private var lastVersion = 0L

    override fun handle(exchange: HttpExchange) {
        when {
            exchange.request.path == "/_fault" -> setFaults(exchange)
            exchange.request.path == "/_stats" -> exchange.respond(jsonResponse(OK, """{"reads":$reads,"writes":$writes}"""))
            else -> answer(exchange)
        }
    }

    override fun reject(fault: HttpFault): HttpResponse = textResponse(BAD_REQUEST, "malformed request")

    private fun setFaults(exchange: HttpExchange) {
        val next = parseStoreFaults(exchange.request)
        if (next != null) faults = next
        exchange.respond(textResponse(if (next == null) BAD_REQUEST else OK, next?.toString() ?: "modes: none, outage, slow, lose-answers"))
    }

    private fun answer(exchange: HttpExchange) {
        val active = faults
        when (active.fault) {
            StoreFault.NONE -> exchange.respond(apply(exchange.request))
            StoreFault.OUTAGE -> exchange.respond(textResponse(UNAVAILABLE, "outage"))
            StoreFault.SLOW -> loop.schedule({ exchange.respond(apply(exchange.request)) }, active.delayMs, TimeUnit.MILLISECONDS)
            StoreFault.LOSE_ANSWERS -> apply(exchange.request)
        }
    }

    private fun apply(request: HttpRequest): HttpResponse {
        val parts = request.path.removePrefix("/table/").split('/', limit = 2)
        val table = tables.getOrPut(parts[0]) { TreeMap() }
        val row = parts.getOrNull(1)
        return when {
            row == null -> scan(table, request)
            request.method == "GET" -> read(table[row], request)
            request.method == "PUT" -> write(table, row, request)
            request.method == "DELETE" -> delete(table, row)
            else -> textResponse(BAD_REQUEST, "use GET, PUT or DELETE")
        }
    }

    private fun scan(table: TreeMap<String, StoredRow>, request: HttpRequest): HttpResponse {
        reads++
        val limit = request.query("limit")?.toIntOrNull() ?: DEFAULT_LIMIT
        val rows = table.tailMap(request.query("after").orEmpty(), false).entries.take(limit)
        return jsonResponse(OK, Json.encodeToString(rows.map { ScannedRow(it.key, it.value.version, it.value.value) }))
    }

    private fun read(row: StoredRow?, request: HttpRequest): HttpResponse {
        reads++
        return when {
            row == null -> textResponse(NOT_FOUND, "no such row")
            request.header("If-None-Match") == row.version.toString() -> HttpResponse(NOT_MODIFIED, listOf(etag(row.version)))
            else -> HttpResponse(OK, listOf(etag(row.version)), row.value.encodeToByteArray())
        }
    }

    private fun write(table: TreeMap<String, StoredRow>, row: String, request: HttpRequest): HttpResponse {
        writes++
        val found = table[row]?.version ?: 0
        val condition = request.header("If-Match") ?: "*"
        if (condition != "*" && condition != found.toString()) return HttpResponse(PRECONDITION_FAILED, listOf(etag(found)))
        val version = ++lastVersion
        table[row] = StoredRow(version, request.body.decodeToString())
        return HttpResponse(OK, listOf(etag(version)))
    }

    private fun delete(table: TreeMap<String, StoredRow>, row: String): HttpResponse {
        writes++
        table.remove(row)
        return textResponse(OK, "")
    }

    private fun etag(version: Long) = HttpHeader("ETag", version.toString())

    private companion object {
        const val OK = 200
        const val NOT_MODIFIED = 304
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
        const val UNAVAILABLE = 503
        const val DEFAULT_LIMIT = 100
    }
}
