package wigeonreel.standin

import io.netty.channel.EventLoopGroup
import wigeonreel.daemon.Clock
import wigeonreel.daemon.monotonicClock
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpExchange
import wigeonreel.http.HttpFault
import wigeonreel.http.HttpHandler
import wigeonreel.http.HttpHeader
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import wigeonreel.http.eventLoop
import wigeonreel.http.textResponse
import wigeonreel.mesh.MeshDaemon
import wigeonreel.mesh.MeshSettings
import wigeonreel.place.Place
import wigeonreel.platform.ExpectedBackend
import wigeonreel.platform.HttpTableService
import wigeonreel.platform.InstanceReports
import wigeonreel.platform.OPERATOR_FORMAT
import wigeonreel.platform.sidecarPlatform
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Backend server of a test. It records the requests that it receives and answers them by [behaviour]. */
class FakeServer(
    val service: String,
    loop: EventLoopGroup,
) : HttpHandler {
    val address = HttpAddress("127.0.0.1", freePort())
    val received = CopyOnWriteArrayList<HttpRequest>()

    @Volatile
    var behaviour: (HttpExchange) -> Unit = { it.respond(signed(it.request, 200, "from $service")) }

    private val listener = HttpListener("server", loop, address.host, address.port, HttpLimits(), this).also { it.start() }

    /** Closes the listening socket, so that another server can take its place. */
    fun stop() = listener.stop()

    override fun handle(exchange: HttpExchange) {
        received += exchange.request
        behaviour(exchange)
    }

    override fun reject(fault: HttpFault) = textResponse(400, "malformed")

    companion object {
        fun signed(request: HttpRequest, status: Int, text: String): HttpResponse {
            val id = request.header("X-Attempt-Id").orEmpty()
            val headers = listOf(HttpHeader("X-Attempt-Id", id), HttpHeader("X-Response-Signature", "sig-$id"))
            return HttpResponse(status, headers, text.encodeToByteArray())
        }
    }
}

/** Daemon of a test and the backend server on the same VM. */
class FakeVm(
    val server: FakeServer,
    val callers: HttpAddress,
    val control: HttpAddress,
    val readiness: HttpAddress,
    private val clock: Clock,
    private val newDaemon: () -> MeshDaemon,
) {
    var daemon: MeshDaemon = newDaemon()
        private set

    /** Shuts the daemon down and blocks until it has stopped. */
    fun stop() = daemon.leaveAndStop(clock.nowMs())

    /** Stops the daemon and starts it again, while the server continues. */
    fun restart() {
        stop()
        daemon = newDaemon().also { it.start() }
    }
}

/**
 * Mesh daemons, their backend servers and a [TableStandin] in one process on the loopback address.
 *
 * @param domains number of failure domains over which the VMs are spread.
 */
class MeshFleet(
    services: List<String>,
    private val drainMs: Long = 2_000,
    private val domains: Int = services.size,
) : AutoCloseable {
    private val loop = eventLoop("fakes")
    private val connector = HttpConnector(loop)
    private val heartbeatSequence = AtomicInteger()
    private val draining = ConcurrentHashMap.newKeySet<FakeVm>()
    private val silent = ConcurrentHashMap.newKeySet<FakeVm>()
    private val storeAddress = HttpAddress("127.0.0.1", freePort())
    private val table = HttpTableService(connector, storeAddress, 1_000)

    init {
        HttpListener("store", loop, storeAddress.host, storeAddress.port, HttpLimits(), TableStandin(loop)).start()
    }

    val vms: List<FakeVm> = services.mapIndexed { index, service -> vm(index, service) }

    init {
        vms.forEach { it.daemon.start() }
        loop.scheduleAtFixedRate({ (vms - silent).forEach { sendHeartbeat(it) } }, 0, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    private fun vm(index: Int, service: String): FakeVm {
        val server = FakeServer(service, loop)
        val (callers, control, readiness, metrics) = List(4) { HttpAddress("127.0.0.1", freePort()) }
        val settings =
            MeshSettings(
                id = "d$index",
                place = Place("r", "z${index % domains}"),
                callers = callers,
                control = control,
                readiness = readiness,
                peers = HttpAddress("127.0.0.1", freePort()),
                metrics = metrics,
                http = HttpLimits(maxBodyBytes = 16_000_000),
                maxAnswerBytes = 12_000_000,
                graceMs = 6_000,
                drainMs = drainMs,
                keysValidWithoutContactMs = 5_000,
                retryRatio = 0.2,
            )
        val platform = sidecarPlatform({ service }) { ownLoop -> HttpTableService(HttpConnector(ownLoop), storeAddress, 1_000) }
        val clock = monotonicClock()
        return FakeVm(server, callers, control, readiness, clock) {
            MeshDaemon(settings, platform, clock) { InstanceReports(it) { ExpectedBackend(service, server.address) } }
        }
    }

    private fun sendHeartbeat(vm: FakeVm) {
        val state = if (vm in draining) "draining" else "ready"
        connector.send(vm.control, heartbeat(vm, "i-${vm.server.address.port}", state, startedAtMs = 1), 1_000) { }
    }

    private fun heartbeat(vm: FakeVm, instance: String, state: String, startedAtMs: Long?): HttpRequest {
        val body =
            """{"address":"${vm.server.address}","info":{"service":"${vm.server.service}","version":"v","zone":"z","slots":$SLOTS},""" +
                """"status":{"state":"$state","seq":${heartbeatSequence.incrementAndGet()},"coldLeftS":0}${bornField(startedAtMs)}}"""
        return HttpRequest("POST", "/Instances.Heartbeat/$instance", body = body.encodeToByteArray())
    }

    private fun bornField(startedAtMs: Long?) = startedAtMs?.let { ""","born":$it""" }.orEmpty()

    /** Deregisters the server of [vm] and waits for the acknowledgement of its daemon. */
    fun drain(vm: FakeVm) {
        draining += vm
        deregister(vm, "i-${vm.server.address.port}", startedAtMs = null)
    }

    /** Ends the periodic heartbeats of the server of [vm], whose test reports its state instead. */
    fun silence(vm: FakeVm) {
        silent += vm
    }

    /** Reports the [state] of a start of the server of [vm] and waits for the acknowledgement of its daemon. */
    fun report(vm: FakeVm, instance: String, state: String, startedAtMs: Long?) =
        call(vm.control, heartbeat(vm, instance, state, startedAtMs), HttpConnector(loop))

    /** Deregisters one start of the server of [vm] and waits for the acknowledgement of its daemon. */
    fun deregister(vm: FakeVm, instance: String, startedAtMs: Long?) {
        val body = "{${bornField(startedAtMs).removePrefix(",")}}"
        call(vm.control, HttpRequest("POST", "/Instances.Deregister/$instance", body = body.encodeToByteArray()), HttpConnector(loop))
    }

    /** Writes the operators' configuration to the store. */
    fun configure(document: String) {
        val done = CompletableFuture<Boolean>()
        loop.execute { table.write(OPERATOR_FORMAT.row, document, null) { done.complete(it.isRight()) } }
        check(done.get(5, TimeUnit.SECONDS)) { "the stand-in refused the configuration" }
    }

    /** Returns the texts of the rows of [tableName] in the store by their names. */
    fun rowsOf(tableName: String): Map<String, String> {
        val done = CompletableFuture<Map<String, String>>()
        loop.execute {
            table.scan(tableName, "", 500) { page ->
                done.complete(
                    page
                        .getOrNull()
                        ?.rows
                        .orEmpty()
                        .associate { it.name.row to it.value },
                )
            }
        }
        return done.get(5, TimeUnit.SECONDS)
    }

    /** Injects a fault into the store, or removes it with `none`. */
    fun storeFault(mode: String) = call(storeAddress, HttpRequest("GET", "/_fault?mode=$mode&ms=300"))

    /**
     * Sends a request with [through] and waits for its result.
     *
     * A stopped daemon in this process still answers on connections that it has, so a restarted one needs a new connector.
     */
    fun call(to: HttpAddress, request: HttpRequest, through: HttpConnector = connector): HttpResult {
        val done = CompletableFuture<HttpResult>()
        loop.execute { through.send(to, request, 10_000) { done.complete(it) } }
        return done.get(15, TimeUnit.SECONDS)
    }

    /** Sends a request without waiting, for a server that calls another service while it handles a request. */
    fun callAsync(to: HttpAddress, request: HttpRequest, onResult: (HttpResult) -> Unit) {
        connector.send(to, request, 5_000) { onResult(it) }
    }

    /** Waits up to 30 s until [condition] holds, and fails with [description] if it does not. */
    fun await(description: String, condition: () -> Boolean) {
        val untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30)
        while (!condition()) {
            check(System.nanoTime() < untilNs) { "not within 30 s: $description" }
            Thread.sleep(20)
        }
    }

    override fun close() {
        loop.shutdownGracefully()
    }

    companion object {
        /** Slots of each server. */
        const val SLOTS = 20
        private const val HEARTBEAT_INTERVAL_MS = 300L
    }
}

/** Next port to try; below the range from which the system takes ports for outgoing connections. */
private val nextPort = AtomicInteger(12_000 + (ProcessHandle.current().pid() % 400).toInt() * 40)

internal fun freePort(): Int =
    generateSequence { nextPort.getAndIncrement() }
        .first { port -> runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess }
