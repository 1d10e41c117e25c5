package wigeonreel.traffic

import arrow.core.Either
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import wigeonreel.daemon.Clock
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.jsonResponse
import wigeonreel.kernel.Log
import wigeonreel.membership.ServerInfo

/** Announcement that the local backend server sends every second. */
@Serializable
data class Announcement(
    val service: String,
    val address: String,
    val slots: Int,
    val ready: Boolean = true,
)

/** HTTP API for the local backend server: receives its announcements and the requests that it makes to other services. */
class LocalApi(
    private val entry: EntryService,
    private val guard: GuardService,
    private val clock: Clock,
    private val onAnnouncement: (LocalServer) -> Unit,
) : HttpHandler {
    private val log = Log("local")

    override fun handle(exchange: HttpExchange) =
        when (exchange.request.path) {
            ANNOUNCE_PATH -> announce(exchange)
            else -> entry.handleLocal(exchange)
        }

    override fun reject(fault: HttpFault) = entry.rejectionResponse(fault)

    private fun announce(exchange: HttpExchange) {
        val parsed =
            Either.catchOrThrow<SerializationException, Announcement> {
                Json.decodeFromString(
                    exchange.request.body.decodeToString(),
                )
            }
        val announcement = parsed.getOrNull()
        val address = announcement?.let { HttpAddress.parse(it.address) }
        if (announcement == null || address == null || announcement.slots < 1 || announcement.service.isEmpty()) return reject(exchange)
        val server = LocalServer(ServerInfo(announcement.service, announcement.slots, announcement.ready), address, clock.nowMs())
        guard.onAnnouncement(server, clock.nowMs())
        onAnnouncement(server)
        exchange.respond(jsonResponse(OK, "{}"))
    }

    private fun reject(exchange: HttpExchange) {
        log.warn("invalid announcement rejected; the server must send service, address as host:port, slots and ready as JSON")
        val remedy = """{"kind":"malformed-announcement","remedy":"send service, address as host:port, slots and ready as JSON"}"""
        exchange.respond(jsonResponse(BAD_REQUEST, remedy))
    }

    companion object {
        /** Path of the announcement endpoint. */
        const val ANNOUNCE_PATH: String = "/_wigeon/announce"
        private const val OK = 200
        private const val BAD_REQUEST = 400
    }
}
