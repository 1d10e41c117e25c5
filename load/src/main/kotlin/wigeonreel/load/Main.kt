package wigeonreel.load

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.serialization.json.Json
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpConnector
import wigeonreel.http.HttpRequest
import wigeonreel.http.HttpResult
import wigeonreel.http.eventLoop
import java.util.concurrent.CompletableFuture
import kotlin.system.exitProcess

/** Runs `wigeon-load`. */
fun main(args: Array<String>) {
    val parser = argParser("wigeon-load", args)
    val targets by parser
        .option(
            ArgType.String,
            fullName = "targets",
            description = "Caller addresses of daemons, separated by commas",
        ).default("")
    val accounts by parser
        .option(ArgType.String, fullName = "account", description = "Client account: name:key:sent-per-second:granted-per-second")
        .multiple()
    val service by parser.option(ArgType.String, fullName = "service", description = "Service to call").default("")
    val seconds by parser.option(ArgType.Int, fullName = "seconds", description = "Length of the run in seconds").default(10)
    val timeoutMs by parser.option(ArgType.Int, fullName = "timeout-ms", description = "Timeout of the callers in ms").default(1_000)
    val surge by parser.option(ArgType.Double, fullName = "surge", description = "Factor on the rates in the middle third").default(1.0)
    val bookShare by parser.option(ArgType.Double, fullName = "book-share", description = "Share of non-idempotent requests").default(0.0)
    val seed by parser.option(ArgType.Int, fullName = "seed", description = "Seed of the run").default(1)
    val reports by parser.option(ArgType.String, fullName = "backends", description = "Stand-in backends to get reports from").default("")
    val direct by parser
        .option(
            ArgType.String,
            fullName = "paired-direct",
            description = "Measure latency: address of the server itself",
        ).default("")
    val pairs by parser.option(ArgType.Int, fullName = "pairs", description = "Pairs of calls in a latency run").default(20_000)
    parser.parse(args)

    val daemons = parseAddresses(targets)?.takeIf { it.isNotEmpty() } ?: usage("--targets must be addresses as host:port")
    val backends = parseAddresses(reports) ?: usage("--backends must be addresses as host:port")
    val senders = accounts.map { parseAccount(it) ?: usage("'$it' is not an account; write name:key:sent-per-second:granted-per-second") }
    if (senders.isEmpty() || service.isEmpty()) usage("--account and --service are required")
    val loop = eventLoop("load")
    val connector = HttpConnector(loop)
    if (direct.isNotEmpty()) {
        val server = HttpAddress.parse(direct) ?: usage("--paired-direct must be an address as host:port")
        val report = PairedLatency(loop, connector, server, daemons.first(), service, senders.first().key).run(pairs / 2, pairs, GAP_US)
        println(Json.encodeToString(LatencyReport.serializer(), report))
        exitProcess(ExitCode.OK.code)
    }
    val recorder =
        LoadRun(
            LoadSettings(daemons, senders, service, seconds, timeoutMs.toLong(), surge, bookShare, seed),
            loop,
            connector,
        ).run()
    val backendReports = backends.mapNotNull { backendReport(loop, connector, it) }
    val report = recorder.report(backendReports.sumOf { it.count("doubleRuns") }, backendReports.sumOf { it.count("keysSeen") })
    printReport(report)
    exitProcess(if (report.foreignAnswers + report.doubleRuns + report.keysSeen == 0L) ExitCode.OK.code else ExitCode.FAILED.code)
}

private const val GAP_US = 200L
private const val REPORT_TIMEOUT_MS = 2_000L

private fun usage(message: String): Nothing = fail(ExitCode.USAGE, "wigeon-load: $message")

private fun backendReport(loop: NioEventLoopGroup, connector: HttpConnector, address: HttpAddress): String? {
    val done = CompletableFuture<String?>()
    loop.execute {
        connector.send(address, HttpRequest("GET", "/_standin/report"), REPORT_TIMEOUT_MS) {
            done.complete((it as? HttpResult.Answer)?.response?.text)
        }
    }
    return done.get()
}

private fun String.count(field: String): Long =
    Regex("\"$field\":(\\d+)")
        .find(this)
        ?.groupValues
        ?.get(1)
        ?.toLong() ?: 0

private fun printReport(report: LoadReport) {
    println("%-14s %8s %8s %9s  %s".format("account", "sent", "whole", "wrongful", "refused"))
    report.accounts.forEach { println("%-14s %8d %8d %9d  %s".format(it.account, it.sent, it.whole, it.wrongfulRefusals, it.refused)) }
    println("goodput of whole requests   %.1f/s of %.1f/s offered".format(report.goodputPerSecond, report.offeredPerSecond))
    println("time to recover             ${if (report.recoveryMs < 0) "not recovered" else "${report.recoveryMs} ms"}")
    println("worst-served client account %.1f%% of what its rate allowed".format(report.worstServed * PERCENT))
    println("refused within the rate     %.3f%%".format(report.wrongfulRefusals * PERCENT))
    println("foreign answers ${report.foreignAnswers}, double runs ${report.doubleRuns}, keys seen by servers ${report.keysSeen}")
    println(Json.encodeToString(LoadReport.serializer(), report))
}

private const val PERCENT = 100.0
