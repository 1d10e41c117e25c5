package wigeonreel.standin

import io.netty.channel.EventLoopGroup
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.jsonResponse
import wigeonreel.http.textResponse
import wigeonreel.platform.STORE_ERA_HEADER
import wigeonreel.platform.StoreAnswer
import wigeonreel.platform.StoreCondition
import wigeonreel.platform.StorePaths
import wigeonreel.platform.StoreRow
import wigeonreel.platform.StoreTransaction
import wigeonreel.platform.platformJson
import java.net.URLDecoder
import java.util.TreeMap
import java.util.concurrent.TimeUnit

/** In-memory table service of the platform: versioned rows, conditional writes, a change feed and faults that a scenario can inject. */
class TableStandin(
    private val loop: EventLoopGroup,
) : HttpHandler {
    private data class RowKey(
        val table: String,
        val part: String,
        val key: String,
    )

    private class Watch(
        val table: String,
        val after: Long,
        val exchange: HttpExchange,
    ) {
        var answered = false
    }

    /** Content of the store, which a copy preserves. */
    private class Content(
        val rows: TreeMap<RowKey, StoreRow> = TreeMap(compareBy({ it.table }, { it.part }, { it.key })),
        val history: ArrayDeque<StoreRow> = ArrayDeque(),
        var lastVersion: Long = 0,
        var discardedUpToVersion: Long = 0,
    ) {
        fun copy() = Content(TreeMap(rows), ArrayDeque(history), lastVersion, discardedUpToVersion)
    }

    private val watches = mutableListOf<Watch>()
    private var content = Content()
    private var copy = Content()
    private var era = 1L
    private var faults = StoreFaults()
    private var reads = 0L
    private var writes = 0L

    override fun handle(exchange: HttpExchange) {
        when (exchange.request.path) {
            "/_fault" -> setFaults(exchange)
            "/_stats" -> exchange.respond(jsonResponse(OK, """{"reads":$reads,"writes":$writes}"""))
            else -> handleWithFault(exchange)
        }
    }

    override fun reject(fault: HttpFault): HttpResponse = textResponse(BAD_REQUEST, "malformed request")

    /** Discards the change history, so that clients that watch from an older version have to read the rows again. */
    fun discardHistory() {
        content.discardedUpToVersion = content.lastVersion
        content.history.clear()
    }

    /** Keeps a copy of all rows for [restore]. */
    fun takeCopy() {
        copy = content.copy()
    }

    /**
     * Loses everything written since [takeCopy] and begins a new era, in which the versions of the lost writes are assigned again.
     *
     * Open watches continue in the new era.
     */
    fun restore() {
        content = copy.copy()
        era++
    }

    private fun setFaults(exchange: HttpExchange) {
        val next = parseStoreFaults(exchange.request)
        if (next != null) faults = next
        when (next?.fault) {
            StoreFault.FORGET -> discardHistory()
            StoreFault.COPY -> takeCopy()
            StoreFault.RESTORE -> restore()
            else -> Unit
        }
        val modes = StoreFault.entries.joinToString { it.name.lowercase().replace('_', '-') }
        exchange.respond(textResponse(if (next == null) BAD_REQUEST else OK, next?.toString() ?: "modes: $modes"))
    }

    private fun handleWithFault(exchange: HttpExchange) {
        val active = faults
        when (active.fault) {
            StoreFault.NONE, StoreFault.FORGET, StoreFault.COPY, StoreFault.RESTORE -> execute(exchange)
            StoreFault.OUTAGE -> exchange.respondInEra(textResponse(UNAVAILABLE, "outage"))
            StoreFault.BUSY -> exchange.respondInEra(textResponse(TOO_MANY_REQUESTS, "too many calls"))
            StoreFault.SILENT -> Unit
            StoreFault.SLOW -> loop.schedule({ execute(exchange) }, active.delayMs, TimeUnit.MILLISECONDS)
            StoreFault.LOSE_ANSWERS -> if (isWrite(exchange.request)) transact(exchange.request) else execute(exchange)
            StoreFault.LATE_WRITES ->
                if (isWrite(exchange.request)) {
                    loop.schedule({ transact(exchange.request) }, active.delayMs, TimeUnit.MILLISECONDS)
                } else {
                    execute(exchange)
                }
        }
    }

    private fun isWrite(request: HttpRequest) = request.path == StorePaths.TRANSACTION

    private fun execute(exchange: HttpExchange) =
        when (exchange.request.path) {
            StorePaths.TRANSACTION -> exchange.respondInEra(transact(exchange.request))
            StorePaths.GET -> exchange.respondInEra(get(exchange.request))
            StorePaths.FEED -> feed(exchange)
            else -> exchange.respondInEra(textResponse(NOT_FOUND, "no such call"))
        }

    private fun get(request: HttpRequest): HttpResponse {
        reads++
        val table = parameter(request, "table")
        val part = parameter(request, "part")
        val from = parameter(request, "from")
        val to = parameter(request, "to")
        val limit = parameter(request, "limit").toIntOrNull() ?: DEFAULT_LIMIT
        val range = content.rows.values.filter { it.table == table && it.part == part && it.key >= from && (to.isEmpty() || it.key < to) }
        return response(StoreAnswer(range.take(limit), range.size > limit, content.lastVersion))
    }

    private fun transact(request: HttpRequest): HttpResponse {
        writes++
        val transaction = platformJson.decodeFromString(StoreTransaction.serializer(), request.body.decodeToString())
        if (transaction.conditions.any { versionOf(it) != it.version }) {
            val current = transaction.conditions.mapNotNull { content.rows[RowKey(it.table, it.part, it.key)] }
            return response(StoreAnswer(current, version = content.lastVersion), PRECONDITION_FAILED)
        }
        val version = ++content.lastVersion
        transaction.puts.forEach { record(StoreRow(it.table, it.part, it.key, it.encodedValue, version)) }
        transaction.removals.forEach { record(StoreRow(it.table, it.part, it.key, version = version, removed = true)) }
        watches.toList().forEach { notify(it) }
        return response(StoreAnswer(version = version))
    }

    private fun versionOf(condition: StoreCondition) = content.rows[RowKey(condition.table, condition.part, condition.key)]?.version ?: 0

    private fun record(row: StoreRow) {
        val key = RowKey(row.table, row.part, row.key)
        if (row.removed) content.rows.remove(key) else content.rows[key] = row
        content.history.addLast(row)
    }

    private fun feed(exchange: HttpExchange) {
        reads++
        val after = parameter(exchange.request, "after").toLongOrNull() ?: 0
        if (after < content.discardedUpToVersion) return exchange.respondInEra(textResponse(GONE, "history is gone"))
        if (after > content.lastVersion) return exchange.respondInEra(textResponse(GONE, "no such version"))
        val watch = Watch(parameter(exchange.request, "table"), after, exchange)
        watches += watch
        if (notify(watch)) return
        val waitMs = parameter(exchange.request, "waitMs").toLongOrNull() ?: 0
        loop.schedule({ finish(watch, emptyList()) }, waitMs, TimeUnit.MILLISECONDS)
    }

    private fun notify(watch: Watch): Boolean {
        val changed = content.history.filter { it.table == watch.table && it.version > watch.after }
        if (changed.isNotEmpty()) finish(watch, changed)
        return changed.isNotEmpty()
    }

    private fun finish(watch: Watch, changed: List<StoreRow>) {
        if (watch.answered) return
        watch.answered = true
        watches -= watch
        watch.exchange.respondInEra(response(StoreAnswer(changed, version = content.lastVersion)))
    }

    private fun response(body: StoreAnswer, status: Int = OK) =
        jsonResponse(status, platformJson.encodeToString(StoreAnswer.serializer(), body))

    private fun HttpExchange.respondInEra(response: HttpResponse) =
        respond(HttpResponse(response.status, response.headers + HttpHeader(STORE_ERA_HEADER, era.toString()), response.body))

    private fun parameter(request: HttpRequest, name: String) = URLDecoder.decode(request.query(name).orEmpty(), Charsets.UTF_8)

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
        const val DEFAULT_LIMIT = 500
    }
}
