package wigeonreel.ctl

import arrow.core.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import wigeonreel.config.ConfigDocument
import wigeonreel.config.ConfigEdit
import wigeonreel.config.parseDocument
import wigeonreel.http.HttpAddress
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import java.net.URLEncoder
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val COMMANDS = """commands:
  config get                       print the configuration in force at the daemon
  config plan FILE                 check the edits of FILE without storing them
  config apply FILE                store the edits of FILE; prints accepted, stored or refused
  config watch                     print each new version until interrupted
  key grant ACCOUNT KEY            grant KEY to the client account ACCOUNT
  key withdraw KEY                 withdraw KEY
  label set ENTRY LABEL VALUE      set a label, ENTRY as account/NAME or service/NAME
  status                           print the state of the daemon and its view of the fleet
  drain                            refuse new requests, finish those in progress and leave the fleet
  trace ID [FILE...]               print the events of one request from daemons' logs, or from standard input
  explain SERVICE ACCOUNT [METHOD] [PATH]   print how such a request would be handled"""

/** Runs `wigeonctl`. */
fun main(args: Array<String>) {
    val parser = argParser("wigeonctl", args)
    val admin by parser
        .option(
            ArgType.String,
            fullName = "admin",
            shortName = "a",
            description = "Admin address of a daemon",
        ).default("127.0.0.1:7104")
    val json by parser.option(ArgType.Boolean, fullName = "json", description = "Print JSON").default(false)
    val expect by parser.option(ArgType.Int, fullName = "expect", description = "Expected version of the configuration").default(-1)
    val words by parser.argument(ArgType.String, fullName = "command", description = COMMANDS).vararg().optional()
    parser.parse(args)
    val address = HttpAddress.parse(admin) ?: fail(ExitCode.USAGE, "wigeonctl: --admin '$admin' is not an address; set it to host:port")
    CommandRunner(AdminClient(address), admin, json, expect.toLong().takeIf { it >= 0 }).run(words)
}

private class CommandRunner(
    private val client: AdminClient,
    private val admin: String,
    private val json: Boolean,
    private val expectedVersion: Long?,
) {
    fun run(words: List<String>) {
        val rest = words.drop(2)
        when (words.take(2).joinToString(" ")) {
            "config get" -> show(get("/config"))
            "config plan" -> show(post("/config/plan", readEdits(rest, "config plan FILE")))
            "config apply" -> show(post("/config/apply", readEdits(rest, "config apply FILE")))
            "config watch" -> watch()
            "key grant" -> withArguments(rest, 2, "key grant ACCOUNT KEY") { apply(grantKey(it[0], it[1])) }
            "key withdraw" -> withArguments(rest, 1, "key withdraw KEY") { apply(withdrawKey(it[0])) }
            "label set" -> withArguments(rest, 3, "label set ENTRY LABEL VALUE") { setLabel(it[0], it[1], it[2]) }
            "status" -> show(get("/status"))
            "drain" -> show(send("POST", "/drain"))
            else -> runSingle(words)
        }
    }

    private fun runSingle(words: List<String>) =
        when (words.firstOrNull()) {
            "explain" -> explain(words.drop(1))
            "trace" -> trace(words.drop(1))
            else -> fail(ExitCode.USAGE, "wigeonctl: unknown command\n$COMMANDS")
        }

    private fun trace(words: List<String>) {
        val id = words.firstOrNull() ?: fail(ExitCode.USAGE, "usage: wigeonctl trace ID [FILE...]")
        val files = words.drop(1)
        val lines = if (files.isEmpty()) generateSequence(::readLine) else files.asSequence().flatMap { readLines(it) }
        println(traceRequest(lines, id).toText())
    }

    private fun readLines(file: String): List<String> =
        runCatching { Files.readAllLines(Path.of(file)) }
            .getOrElse { fail(ExitCode.FAILED, "wigeonctl: $file can't be read; give a readable log file") }

    private fun apply(edit: ConfigEdit) = show(post("/config/apply", listOf(edit)))

    private fun setLabel(entry: String, label: String, value: String) {
        val edit = setLabel(document(), entry, label, value)
        apply(edit ?: fail(ExitCode.FAILED, "wigeonctl: there is no entry '$entry'; name one as account/NAME or service/NAME"))
    }

    private fun explain(words: List<String>) {
        if (words.size < 2) fail(ExitCode.USAGE, "usage: wigeonctl explain SERVICE ACCOUNT [METHOD] [PATH]")
        val names = listOf("service", "account", "method", "path")
        val query =
            names
                .zip(
                    words,
                ).joinToString("&") { (name, value) -> "$name=${URLEncoder.encode(value, Charsets.UTF_8).replace("%2F", "/")}" }
        show(get("/explain?$query"))
    }

    private fun watch() {
        var shown = -1L
        while (true) {
            val document = document()
            if (document.version > shown) {
                document.entries.filter { it.version > shown }.forEach { println("version ${it.version} ${it.name} = ${it.value ?: ""}") }
                shown = document.version
            }
            Thread.sleep(WATCH_INTERVAL_MS)
        }
    }

    private fun document(): ConfigDocument =
        parseDocument(
            get("/config").text,
        ).getOrElse { fail(ExitCode.FAILED, "wigeonctl: the daemon's response can't be parsed: ${it.message}") }

    private fun readEdits(words: List<String>, usage: String): List<ConfigEdit> {
        val file = words.firstOrNull() ?: fail(ExitCode.USAGE, "usage: wigeonctl $usage")
        val text =
            runCatching {
                Files.readString(Path.of(file))
            }.getOrElse { fail(ExitCode.FAILED, "wigeonctl: $file can't be read; give a readable file") }
        val (edits, malformed) = parseEdits(text)
        if (malformed != null) {
            fail(ExitCode.FAILED, "wigeonctl: $file: '$malformed' is not an edit; write kind/name = JSON, or kind/name = to remove")
        }
        return edits
    }

    private fun withArguments(words: List<String>, count: Int, usage: String, action: (List<String>) -> Unit) {
        if (words.size != count) fail(ExitCode.USAGE, "usage: wigeonctl $usage")
        action(words)
    }

    private fun get(uri: String) = send("GET", uri)

    private fun post(uri: String, edits: List<ConfigEdit>) = send("POST", uri, Change(expectedVersion, edits).toJson())

    private fun send(method: String, uri: String, body: String = ""): HttpResponse =
        when (val result = client.call(method, uri, body)) {
            is HttpResult.Answer -> result.response
            is HttpResult.NotSent ->
                fail(ExitCode.UNREACHABLE, "wigeonctl: $admin does not answer; set --admin to the admin address of a running daemon")
            is HttpResult.Lost -> {
                val cause = listOfNotNull(result.reason.name.lowercase(), result.detail).joinToString(": ")
                fail(ExitCode.UNREACHABLE, "wigeonctl: no complete answer of $admin ($cause); a change may have been made")
            }
        }

    private fun show(response: HttpResponse) {
        println(if (json) response.text else toLines(response.text))
        exitProcess(if (response.status == OK) ExitCode.OK.code else ExitCode.FAILED.code)
    }

    private companion object {
        const val OK = 200
        const val WATCH_INTERVAL_MS = 500L
    }
}
