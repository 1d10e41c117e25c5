package wigeonreel.bench

import kotlinx.cli.ArgType
import kotlinx.cli.default
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import wigeonreel.replay.AccountReplay
import wigeonreel.replay.LoadShapes
import wigeonreel.replay.Mechanism
import wigeonreel.replay.MeshReplay

private const val MAX_FLEET_SIZE = 400

/** Runs `wigeon-bench`: benchmarks of the control decisions in virtual time. */
fun main(args: Array<String>) {
    val parser = argParser("wigeon-bench", args)
    val name by parser.argument(ArgType.String, description = "fleet, overload or replay")
    val seed by parser.option(ArgType.Int, fullName = "seed", description = "Seed of the run").default(1)
    val pattern by parser
        .option(
            ArgType.String,
            fullName = "pattern",
            description = "Replay only the load patterns whose name starts so",
        ).default("")
    val without by parser.option(
        ArgType.String,
        fullName = "without",
        description = "Mechanism that replays leave out: ${Mechanism.entries.joinToString { it.optionName }}",
    )
    parser.parse(args)
    val excluded =
        without?.let { name ->
            Mechanism.entries.firstOrNull { it.optionName == name }
                ?: fail(
                    ExitCode.USAGE,
                    "wigeon-bench: no mechanism is named '$name'; name one of ${Mechanism.entries.joinToString { it.optionName }}",
                )
        }
    when (name) {
        "fleet" -> FleetBench(seed.toLong()).run(listOf(25, 100, MAX_FLEET_SIZE))
        "replay" -> {
            LoadShapes.all
                .filter {
                    it.name.startsWith(
                        pattern,
                    )
                }.forEach { println(MeshReplay(it, seed.toLong(), excluded).run().report()) }
            AccountReplay.LOADS.forEach { println(AccountReplay(it, seed.toLong()).run()) }
        }
        "overload" -> OverloadBench(seed.toLong()).run()
        else -> fail(ExitCode.USAGE, "wigeon-bench: no benchmark is named '$name'; name fleet, overload or replay")
    }
}
