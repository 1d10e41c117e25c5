package wigeonreel.bench

import kotlinx.cli.ArgType
import kotlinx.cli.default
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail

private const val LARGEST = 400

/** Runs `wigeon-bench`: benchmarks of the decisions on virtual time. */
fun main(args: Array<String>) {
    val parser = argParser("wigeon-bench", args)
    val name by parser.argument(ArgType.String, description = "fleet or overload")
    val seed by parser.option(ArgType.Int, fullName = "seed", description = "Seed of the run").default(1)
    parser.parse(args)
    when (name) {
        "fleet" -> FleetBench(seed.toLong()).run(listOf(25, 100, LARGEST))
        "overload" -> OverloadBench(seed.toLong()).run()
        else -> fail(ExitCode.USAGE, "wigeon-bench: no benchmark is named '$name'; name fleet or overload")
    }
}
