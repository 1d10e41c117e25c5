package wigeonreel.daemon

import kotlinx.cli.ArgType
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import wigeonreel.settings.readSettings
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Runs `wigeonreeld`. */
fun main(args: Array<String>) {
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
    run(settings)
}

private fun run(settings: DaemonSettings) {
    System.setProperty("wigeonreel.log.level", if (settings.logDecisions) "debug" else "info")
    val daemon = Daemon(settings)
    runCatching { daemon.start() }.onFailure {
        fail(ExitCode.FAILED, "wigeonreeld: can't start (${it.message}); check that the listen addresses are free")
    }
    Runtime.getRuntime().addShutdownHook(Thread(daemon::drainAndStop, "shutdown"))
    CountDownLatch(1).await()
}
