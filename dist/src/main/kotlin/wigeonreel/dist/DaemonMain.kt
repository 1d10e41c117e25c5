package wigeonreel.dist

import kotlinx.cli.ArgType
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import wigeonreel.daemon.Daemon
import wigeonreel.daemon.DaemonSettings
import wigeonreel.daemon.ProcessSignals
import wigeonreel.daemon.SYSTEM_CLOCK
import wigeonreel.daemon.daemonSettings
import wigeonreel.daemon.exitAfterThreadEnd
import wigeonreel.http.HttpConnector
import wigeonreel.kernel.Log
import wigeonreel.platform.HttpTableService
import wigeonreel.settings.readSettings
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs `wigeonreeld`. */
fun main(args: Array<String>) {
    val signals = ProcessSignals(SYSTEM_CLOCK)
    val parser = argParser("wigeonreeld", args)
    val settingsFile by parser.option(ArgType.String, fullName = "settings", shortName = "s", description = "Settings file (TOML)")
    val checkFile by parser.option(ArgType.String, fullName = "check-settings", description = "Check this settings file and exit")
    parser.parse(args)
    val file = checkFile ?: settingsFile ?: fail(ExitCode.USAGE, "wigeonreeld: --settings is missing; give the path of a settings file")
    val settings =
        readSettings(Path.of(file)) {
            daemonSettings()
        }.fold({ errors -> fail(ExitCode.BAD_SETTINGS, errors.joinToString("\n") { it.message }) }, { it })
    if (checkFile != null) {
        println("$file: settings are valid")
        exitProcess(ExitCode.OK.code)
    }
    run(settings, signals)
}

private const val MAX_STORE_RESPONSE_BYTES = 16 * 1024 * 1024

private fun run(settings: DaemonSettings, signals: ProcessSignals) {
    Log.keepOpenDuringShutdown()
    System.setProperty("wigeonreel.log.level", if (settings.logDecisions) "debug" else "info")
    val storeLimits = settings.http.copy(maxBodyBytes = MAX_STORE_RESPONSE_BYTES)
    val daemon =
        Daemon(settings, { loop ->
            HttpTableService(HttpConnector(loop, storeLimits), settings.platform.tableAddress, settings.platform.timeoutMs)
        }, onThreadEnd = ::exitAfterThreadEnd)
    val stop = { _: Long ->
        daemon.drainAndStop()
        Log.close()
    }
    runCatching { signals.run(daemon::start, stop) }.onFailure {
        fail(ExitCode.FAILED, "wigeonreeld: can't start (${it.message}); check that the listen addresses are free")
    }
    signals.handleReloads { Log("daemon").warn("SIGHUP ignored: the settings are read at the start; restart the daemon to change them") }
}
