package wigeonreel.standin

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpLimits
import wigeonreel.http.HttpListener
import wigeonreel.http.eventLoop
import java.util.concurrent.CountDownLatch

private const val HOST = "127.0.0.1"
private const val MAX_BODY_BYTES = 16 * 1024 * 1024

/** Runs `wigeon-standin`: simulates the table service and any number of backend servers on the loopback address. */
fun main(args: Array<String>) {
    val parser = argParser("wigeon-standin", args)
    val tablePort by parser.option(ArgType.Int, fullName = "table-port", description = "Port of the table service; 0 for none").default(0)
    val backends by parser
        .option(
            ArgType.String,
            fullName = "backend",
            description = "Backend server: service,port,daemon-local-port,slots,service-ms[,next-service]",
        ).multiple()
    parser.parse(args)
    val settings = backends.map { parseBackend(it) ?: fail(ExitCode.USAGE, "wigeon-standin: '$it' is not a backend; see --help") }
    val limits = HttpLimits(maxBodyBytes = MAX_BODY_BYTES)
    if (tablePort > 0) {
        val loop = eventLoop("table")
        HttpListener("table", loop, HOST, tablePort, limits, TableStandin(loop)).start()
    }
    startBackends(settings, limits)
    println("stand-in ready table=$tablePort backends=${settings.size}")
    CountDownLatch(1).await()
}

private fun startBackends(backends: List<BackendSettings>, limits: HttpLimits) {
    val loop = eventLoop("backends")
    val connector = HttpConnector(loop, limits)
    for (settings in backends) {
        val backend = BackendStandin(settings, loop, connector)
        HttpListener("backend-${settings.address.port}", loop, settings.address.host, settings.address.port, limits, backend).start()
        loop.execute { backend.start() }
    }
}
