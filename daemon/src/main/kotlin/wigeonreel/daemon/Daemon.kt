package wigeonreel.daemon

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.EventLoopGroup
import wigeonreel.admin.AdminActions
import wigeonreel.admin.AdminApi
import wigeonreel.admin.DaemonStatus
import wigeonreel.admin.MemberStatus
import wigeonreel.codec.toCore
import wigeonreel.control.ControlPolicy
import wigeonreel.control.ControlService
import wigeonreel.control.ControlSnapshot
import wigeonreel.drain.DrainState
import wigeonreel.drain.advance
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpListener
import wigeonreel.http.eventLoop
import wigeonreel.kernel.Kernel
import wigeonreel.kernel.Log
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.PeerAddress
import wigeonreel.once.HomeBinding
import wigeonreel.peer.PeerClients
import wigeonreel.peer.PeerEndpoint
import wigeonreel.peer.PeerHandler
import wigeonreel.routing.Router
import wigeonreel.store.TableService
import wigeonreel.traffic.ContextTable
import wigeonreel.traffic.Dispatcher
import wigeonreel.traffic.EntryService
import wigeonreel.traffic.FleetView
import wigeonreel.traffic.GuardService
import wigeonreel.traffic.HomeService
import wigeonreel.traffic.LimitService
import wigeonreel.traffic.LocalApi
import wigeonreel.traffic.LocalServer
import wigeonreel.traffic.TrafficMetrics
import wigeonreel.traffic.TrafficState
import wigeonreel.traffic.deltaFor
import wigeonreel.wire.BlockRequest
import wigeonreel.wire.BorrowRequest
import wigeonreel.wire.ConfigDelta
import wigeonreel.wire.ConfigReceipt
import wigeonreel.wire.FetchConfigRequest
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.TokenGrants
import wigeonreel.wire.TokenRequest
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * One daemon: wires the services together and passes messages between the traffic and the control event loop.
 *
 * @param onThreadEnd called with the name of an event loop whose thread has ended by an error.
 */
class Daemon(
    private val settings: DaemonSettings,
    connectTable: (EventLoopGroup) -> TableService,
    private val clock: Clock = SYSTEM_CLOCK,
    onThreadEnd: (String) -> Unit = {},
) {
    private val log = Log("daemon")
    private val kernel = Kernel()
    private val trafficLoop = eventLoop("traffic") { onThreadEnd("traffic") }
    private val controlLoop = eventLoop("control") { onThreadEnd("control") }
    private val incarnation = clock.nowMs()
    private val binding = HomeBinding(settings.id, incarnation)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val metrics = TrafficMetrics(registry)
    private val state = TrafficState()
    private val contexts = ContextTable()
    private val connector = HttpConnector(trafficLoop, settings.http)
    private val peers = PeerClients(trafficLoop, settings.http.maxBodyBytes + MESSAGE_OVERHEAD_BYTES)
    private val guard = kernel.register(GuardService(state, contexts, connector, metrics, clock))
    private val home = kernel.register(HomeService(binding, state, guard, peers, clock))
    private val limits = kernel.register(LimitService(trafficLoop, binding, settings.place, state, peers, clock))
    private val dispatcher =
        kernel.register(Dispatcher(settings.id, state, Router(Random(incarnation)), peers, metrics, clock) { onUnreachable(it) })
    private val entry = kernel.register(EntryService(settings.traffic, state, contexts, limits, dispatcher, metrics, clock))
    private val table = connectTable(controlLoop)
    private val controlService =
        kernel.register(ControlService(controlLoop, self(), table, clock, ControlPolicy(), ::fetchConfig, ::publish))
    private val drained = CountDownLatch(1)
    private val localApi = LocalApi(entry, guard, clock, ::announce)
    private val trafficListeners =
        with(settings.listen) {
            listOf(
                HttpListener("caller-listener", trafficLoop, host, callerPort, settings.http, entry.callerHandler),
                HttpListener("local-listener", trafficLoop, LOOPBACK, localPort, settings.http, localApi),
            )
        }

    init {
        val listen = settings.listen
        val handler = PeerCallsHandler()
        dispatcher.localHandler = handler
        val admin = AdminApi(controlService, registry, DaemonActions())
        kernel.register(
            PeerEndpoint(
                trafficLoop,
                InetSocketAddress(listen.host, listen.peerPort),
                settings.http.maxBodyBytes + MESSAGE_OVERHEAD_BYTES,
                handler,
            ),
        )
        trafficListeners.forEach { kernel.register(it) }
        kernel.register(HttpListener("admin-listener", controlLoop, listen.host, listen.adminPort, settings.http, admin))
    }

    /** Starts all services and the periodic tick. */
    fun start() {
        kernel.start()
        trafficLoop.scheduleAtFixedRate(::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        log.info("started id=${settings.id} incarnation=$incarnation callers=${settings.listen.callerPort}")
    }

    /** Shuts down gracefully: rejects new requests, waits for requests in flight up to the drain timeout, then stops. */
    fun drainAndStop() {
        drain()
        drained.await(settings.traffic.drainTimeoutMs + STOP_MARGIN_MS, TimeUnit.MILLISECONDS)
        kernel.stop()
        log.info("stopped")
    }

    private fun drain() {
        controlLoop.execute { controlService.leave(MemberState.LEAVING) }
        trafficLoop.execute {
            val nowMs = clock.nowMs()
            limits.release()
            if (state.serving) state.drain = DrainState.Draining(nowMs, nowMs + settings.traffic.drainTimeoutMs)
            log.info("draining inflight=${state.inFlight}")
        }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        state.drain = state.drain.advance(state.inFlight + trafficListeners.sumOf { it.openRequests }, nowMs)
        if (state.drain == DrainState.Drained) drained.countDown()
        val server = state.server ?: return
        if (server.info.ready &&
            nowMs - server.announcedAtMs > ANNOUNCEMENT_TTL_MS
        ) {
            announce(server.copy(info = server.info.copy(ready = false)))
        }
    }

    private fun announce(server: LocalServer) {
        state.server = server
        controlLoop.execute { controlService.announce(server.info.copy(ready = server.info.ready && state.serving)) }
    }

    private fun onUnreachable(id: String) = controlLoop.execute { controlService.onUnreachable(id) }

    private fun publish(snapshot: ControlSnapshot) =
        trafficLoop.execute {
            state.lastContactAtMs = snapshot.lastContactAtMs
            val configuration = snapshot.configuration
            if (snapshot.changed && configuration != null) {
                state.view = FleetView(snapshot.self, snapshot.members, configuration)
                peers.retain(snapshot.liveAddresses)
            }
            state.view?.let {
                home.onView(it, snapshot.provenAtMs)
                limits.onView(it, snapshot.provenAtMs)
            }
        }

    private fun fetchConfig(from: PeerAddress, afterVersion: Long, onDelta: (wigeonreel.config.ConfigDelta) -> Unit) =
        trafficLoop.execute {
            peers.fetchConfig(from, afterVersion, FETCH_CONFIG_TIMEOUT_MS, onDelta)
        }

    private fun self() =
        Member.starting(settings.id, incarnation, PeerAddress(settings.listen.host, settings.listen.peerPort), settings.place)

    private inner class PeerCallsHandler : PeerHandler {
        override fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit) =
            if (request.idempotencyKey.isEmpty()) guard.forward(request, onReply) else home.forward(request, onReply)

        override fun block(request: BlockRequest) = home.block(request)

        /** Grants nothing: this daemon lends account limits through seats and has no token pool. */
        override fun grantTokens(request: TokenRequest): TokenGrants = TokenGrants.getDefaultInstance()

        override fun borrow(request: BorrowRequest) = limits.lend(request)

        override fun fetchConfig(request: FetchConfigRequest): ConfigDelta = state.view.deltaFor(request)

        override fun offerConfig(delta: ConfigDelta, onReceipt: (ConfigReceipt) -> Unit) =
            controlLoop.execute {
                val version = controlService.offerConfig(delta.toCore())
                trafficLoop.execute { onReceipt(ConfigReceipt.newBuilder().setVersion(version).build()) }
            }
    }

    private inner class DaemonActions : AdminActions {
        override fun status(onStatus: (DaemonStatus) -> Unit) {
            val nowMs = clock.nowMs()
            val members = controlService.members.sortedBy { it.id }.map { it.toStatus() }
            onStatus(
                DaemonStatus(
                    id = settings.id,
                    configVersion = controlService.config.replica.current.version,
                    provenAgoMs = nowMs - controlService.config.provenAtMs,
                    drain = state.drain.javaClass.simpleName,
                    inFlight = guard.inFlight,
                    concurrencyLimit = guard.concurrencyLimit,
                    executionRecords = home.size,
                    shares = limits.shares,
                    gossipSentBytes = controlService.sentBytes,
                    gossipReceivedBytes = controlService.receivedBytes,
                    members = members,
                ),
            )
        }

        override fun drain() = this@Daemon.drain()

        override fun confirm(version: Long, onUnconfirmed: (List<String>) -> Unit) =
            Confirmation(
                version,
                controlService.members.toList(),
                controlService.config.replica.current,
                controlLoop,
                trafficLoop,
                peers,
            ).start(onUnconfirmed)

        override fun explain(exchange: HttpExchange) = trafficLoop.execute { Explainer(state, clock).explain(exchange) }

        private fun Member.toStatus() =
            MemberStatus(id, state.name.lowercase(), "${place.region}/${place.failureDomain}", server?.service, routable)
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MESSAGE_OVERHEAD_BYTES = 65_536
        const val TICK_MS = 100L
        const val ANNOUNCEMENT_TTL_MS = 3_000L
        const val FETCH_CONFIG_TIMEOUT_MS = 2_000L
        const val STOP_MARGIN_MS = 1_000L
    }
}
