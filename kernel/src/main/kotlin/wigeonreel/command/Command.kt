package wigeonreel.command

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlin.system.exitProcess

/** Exit codes of all programs. */
enum class ExitCode(
    val code: Int,
) {
    OK(0),
    FAILED(1),
    USAGE(2),
    BAD_SETTINGS(3),
    UNREACHABLE(4),
}

/** Version of all programs. */
const val VERSION: String = "0.1.0"

/** Returns an argument parser for [program]; handles `--version` first, so that it works without the required options. */
fun argParser(program: String, args: Array<String>): ArgParser {
    if (args.contentEquals(arrayOf("--version"))) {
        println("$program $VERSION")
        exitProcess(ExitCode.OK.code)
    }
    return ArgParser(program, useDefaultHelpShortName = true).also {
        it.option(ArgType.Boolean, fullName = "version", description = "Print the version and exit")
    }
}

/** Prints [message] to standard error and exits with [code]. */
fun fail(code: ExitCode, message: String): Nothing {
    System.err.println(message)
    exitProcess(code.code)
}
