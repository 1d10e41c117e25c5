package wigeonreel.mesh

import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import wigeonreel.backend.BackendReport
import wigeonreel.backend.BackendState
import wigeonreel.backend.Departure
import wigeonreel.backend.ReportOutcome
import wigeonreel.control.ControlService
import wigeonreel.control.ControlSnapshot
import wigeonreel.control.DepartureRecord
import wigeonreel.daemon.Clock
import wigeonreel.drain.ShutdownSchedule
import wigeonreel.drain.ShutdownStage
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.eventLoop
import wigeonreel.http.textResponse
import wigeonreel.kernel.EventLog
import wigeonreel.kernel.Kernel
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.peer.PeerClients
import wigeonreel.peer.PeerEndpoint
import wigeonreel.peer.PeerHandler
import wigeonreel.retry.ServiceRetryBudget
import wigeonreel.routing.Router
import wigeonreel.traffic.FleetView
import wigeonreel.traffic.deltaFor
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
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Daemon on a platform with its own protocols: creates its services and passes data between the traffic and the control event loop.
 *
 * @param onThreadEnd called with the name of an event loop whose thread has ended by an error.
 */
class MeshDaemon(
    private val settings: MeshSettings,
    private val platform: MeshPlatform,
    private val clock: Clock,
    onThreadEnd: (String) -> Unit = {},
    reports: (BackendReports) -> HttpHandler,
) {
    private val kernel = Kernel()
    private val traffic = eventLoop("traffic") { onThreadEnd("traffic") }
    private val control = eventLoop("control") { onThreadEnd("control") }
    private val incarnation = clock.nowMs()
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val log = kernel.register(EventLog())
    private val events = MeshEvents(log, registry, clock)
    private val state = MeshState(ShutdownSchedule(settings.graceMs), settings.keysValidWithoutContactMs)
    private val router = Router(Random(incarnation))
    private val peers = PeerClients(traffic, settings.http.maxBodyBytes + MESSAGE_OVERHEAD_BYTES)
    private val backendConnector = HttpConnector(traffic, settings.http.copy(maxBodyBytes = settings.maxAnswerBytes))
    private val guard = kernel.register(MeshGuard(state, platform.servers, backendConnector, events, clock, ::announce))
    private val budget = ServiceRetryBudget(settings.retryRatio * RETRY_RATIO_SHARE, RETRY_BURST)
    private val sender =
        kernel.register(
            MeshSender(traffic, settings.id, state, router, budget, peers, guard, events, clock, ::onUnreachable),
        )
    private val quota = kernel.register(MeshQuota(traffic, settings.id, state, peers, clock, ::onUnreachable))
    private val entry =
        kernel.register(MeshEntry(state, platform.callers, quota, sender, guard, events, clock))
    private val callerListener = listener("caller-listener", settings.callers, entry)
    private val table = platform.connectTable(control)
    private val departures = DepartureRecord(control, table, settings.id)
    private val fleet =
        kernel.register(
            ControlService(control, self(), table, clock, platform.control, ::fetchConfig, ::publish),
        )
    private var announcedReady = false

    /** Departures in the store as far as this daemon knows, or null until they have been read. */
    private var storedDepartures: List<Departure>? = null

    init {
        val limit = settings.http.maxBodyBytes + MESSAGE_OVERHEAD_BYTES
        kernel.register(PeerEndpoint(traffic, InetSocketAddress(settings.peers.host, settings.peers.port), limit, PeerCalls()))
        kernel.register(callerListener)
        listen("control-listener", settings.control, reports(Reports()), settings.http.copy(maxBodyBytes = MAX_REPORT_BYTES))
        listen("readiness-listener", settings.readiness, PageHandler { readiness() })
        listen("metrics-listener", settings.metrics, PageHandler { textResponse(OK, registry.scrape()) })
        gauge("wigeon.backend.running") { guard.running }
        gauge("wigeon.backend.waiting") { guard.waiting }
        gauge("wigeon.config.version") { state.view?.configuration?.version ?: 0 }
        gauge("wigeon.fleet.daemons") { state.view?.daemonCount ?: 0 }
        gauge("wigeon.log.dropped") { log.dropped }
    }

    /** Starts all services and reads the departures of the local backend servers. */
    fun start() {
        state.departureReadDeadlineMs = clock.nowMs() + DEPARTURE_READ_TIMEOUT_MS
        kernel.start()
        control.execute { departures.read { stored -> traffic.execute { onDeparturesRead(stored) } } }
        traffic.scheduleAtFixedRate(::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        events.changed("start", "id=${settings.id} incarnation=$incarnation place=${settings.place} ${settings.boundsText}")
    }

    /**
     * Shuts down gracefully and blocks until the daemon has stopped.
     *
     * Notifies callers first and peers later, and serves requests until none is open or the grace period ends.
     *
     * @param requestedAtMs time of the request to stop, in milliseconds.
     * @param readGraceMs returns the grace period if it may have changed, in milliseconds.
     */
    fun leaveAndStop(requestedAtMs: Long, readGraceMs: () -> Long? = { null }) {
        traffic.execute { state.stopRequestedAtMs = requestedAtMs }
        events.changed("stop", "leaving afterMs=${clock.nowMs() - requestedAtMs}")
        readGraceMs()?.let { changeGracePeriod(it) }
        val schedule = state.shutdownSchedule
        awaitStage(requestedAtMs, ShutdownStage.PEERS_NOTIFIED)
        control.execute { fleet.leave(MemberState.LEAVING) }
        awaitStage(requestedAtMs, ShutdownStage.DONE)
        traffic.execute { state.closing = true }
        awaitNoneOpen(requestedAtMs + schedule.requestsEndAtMs)
        traffic.submit { sender.endAll() }.sync()
        awaitNoneOpen(requestedAtMs + schedule.responsesEndAtMs)
        events.changed("stopped", "openRequests=${openRequests()} afterMs=${clock.nowMs() - requestedAtMs}")
        kernel.stop()
    }

    /** Changes the grace period between the request to stop and the end of the process, in milliseconds. */
    fun changeGracePeriod(graceMs: Long) {
        state.shutdownSchedule = ShutdownSchedule(graceMs)
    }

    /** Logs that the settings were reloaded. */
    fun onSettingsChanged(detail: String) = events.changed("reload", detail)

    /** Returns the number of callers' requests whose response is not written yet and of requests for the local backend server. */
    private fun openRequests(): Int = traffic.submit<Int> { callerListener.openRequests + guard.openRequests }.get()

    /** Waits until no request is open, at most until [untilMs]. */
    private fun awaitNoneOpen(untilMs: Long) {
        while (openRequests() > 0 && clock.nowMs() < untilMs) Thread.sleep(STOP_POLL_MS)
    }

    private fun awaitStage(requestedAtMs: Long, stage: ShutdownStage) {
        while (state.shutdownSchedule.stage(clock.nowMs() - requestedAtMs, openRequests()) < stage) Thread.sleep(STOP_POLL_MS)
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        guard.sweep(nowMs)
        if (announcedReady != state.backendReady(nowMs)) announce()
    }

    /** Announces the state of the local backend server to the fleet. */
    private fun announce() {
        val server = state.backend.current ?: return
        announcedReady = state.backendReady(clock.nowMs())
        val info = ServerInfo(server.service, server.slots, announcedReady)
        control.execute { fleet.announce(info) }
    }

    private fun onUnreachable(id: String) = control.execute { fleet.onUnreachable(id) }

    private fun onDeparturesRead(stored: List<Departure>) {
        state.departureReadDeadlineMs = 0
        stored.forEach { state.backend.restore(it) }
        storedDepartures = stored
        storeDepartures()
        announce()
    }

    /** Stores the departures if they have changed; not before those of the earlier process are known, which it would overwrite. */
    private fun storeDepartures() {
        val known = state.backend.departures
        if (storedDepartures == null || known == storedDepartures) return
        storedDepartures = known
        control.execute { departures.write(known) }
    }

    private fun readiness() = if (state.ready(clock.nowMs())) textResponse(OK, "ready") else textResponse(UNAVAILABLE, "not ready")

    private fun publish(snapshot: ControlSnapshot) =
        traffic.execute {
            state.lastContactAtMs = snapshot.lastContactAtMs
            state.announcementsRead = snapshot.announcementsRead
            val configuration = snapshot.configuration
            if (snapshot.changed && configuration != null) {
                val before = state.view?.configuration?.version
                state.view = FleetView(snapshot.self, snapshot.members, configuration)
                if (before != configuration.version) events.changed("config", "version=${configuration.version} before=$before")
                peers.retain(snapshot.liveAddresses)
                router.retain(snapshot.members.mapTo(HashSet()) { it.id })
            }
        }

    private fun fetchConfig(from: PeerAddress, afterVersion: Long, onDelta: (wigeonreel.config.ConfigDelta) -> Unit) =
        traffic.execute {
            peers.fetchConfig(from, afterVersion, FETCH_TIMEOUT_MS, onDelta)
        }

    private fun self() = Member.starting(settings.id, incarnation, PeerAddress(settings.peers.host, settings.peers.port), settings.place)

    private fun listen(name: String, address: HttpAddress, handler: HttpHandler, limits: HttpLimits = settings.http) =
        kernel.register(listener(name, address, handler, limits))

    private fun listener(name: String, address: HttpAddress, handler: HttpHandler, limits: HttpLimits = settings.http) =
        HttpListener(name, traffic, address.host, address.port, limits, handler)

    private fun gauge(name: String, value: () -> Number) = Gauge.builder(name, value).register(registry)

    private inner class Reports : BackendReports {
        override fun report(report: BackendReport): ReportOutcome {
            val outcome = state.backend.report(report)
            events.reported(report, outcome)
            storeDepartures()
            if (outcome == ReportOutcome.NEW_SERVER) state.backendDownUntilMs = 0
            updateDrain()
            if (outcome != ReportOutcome.OUTDATED) {
                guard.onBackendReport(report, outcome == ReportOutcome.NEW_SERVER)
                announce()
            }
            return outcome
        }

        override fun leave(instance: String, startedAtMs: Long?) {
            val current = state.backend.leave(instance, startedAtMs, clock.nowMs())
            events.changed("backend-leaves", "instance=$instance current=$current")
            storeDepartures()
            updateDrain()
            if (current) announce()
        }

        private fun updateDrain() {
            val draining = state.backend.current?.state == BackendState.DRAINING
            if (!draining) state.backendDrainedAtMs = Long.MAX_VALUE
            if (draining &&
                state.backendDrainedAtMs == Long.MAX_VALUE
            ) {
                state.backendDrainedAtMs = clock.nowMs() + settings.drainMs - DRAIN_MARGIN_MS
            }
        }
    }

    private inner class PeerCalls : PeerHandler {
        override fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit) = guard.forward(request, onReply)

        override fun grantTokens(request: TokenRequest): TokenGrants = quota.onRequest(request)

        override fun fetchConfig(request: FetchConfigRequest): ConfigDelta = state.view.deltaFor(request)

        override fun offerConfig(delta: ConfigDelta, onReceipt: (ConfigReceipt) -> Unit) =
            onReceipt(ConfigReceipt.newBuilder().setVersion(state.view?.configuration?.version ?: 0).build())

        override fun block(request: BlockRequest): BlockReply = BlockReply.getDefaultInstance()

        override fun borrow(request: BorrowRequest): BorrowReply = BorrowReply.getDefaultInstance()
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val MESSAGE_OVERHEAD_BYTES = 65_536

        /** Maximum size of a backend server's report; parsing a far larger one would take a large part of the heap. */
        const val MAX_REPORT_BYTES = 65_536
        const val TICK_MS = 50L

        /** Timeout for reading the departure record; a leaving server continues to serve for about this time. */
        const val DEPARTURE_READ_TIMEOUT_MS = 2_500L
        const val FETCH_TIMEOUT_MS = 1_000L
        const val STOP_POLL_MS = 20L

        /** Time for a request on its way to a draining server. */
        const val DRAIN_MARGIN_MS = 100L

        /** Share of the fleet's retry ratio that daemons use; the rest is for retries that were attributed to the wrong request. */
        const val RETRY_RATIO_SHARE = 0.6

        /** Maximum burst of retries from one daemon to one service after a period without retries. */
        const val RETRY_BURST = 1.0
    }
}
