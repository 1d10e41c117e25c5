package wigeonreel.soak

import kotlinx.cli.ArgType
import kotlinx.cli.default
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import wigeonreel.command.fail
import kotlin.system.exitProcess

private const val MS_PER_MINUTE = 60_000L
private const val ONCE_VIRTUAL_MS = 600_000L
private const val LIMIT_VIRTUAL_MS = 120_000L
private const val CONFIG_VIRTUAL_MS = 120_000L
private const val CALL_TREES = 20_000

/**
 * Runs `soak`: randomised simulations of the decision logic, one seed after another.
 *
 * Ends after `--minutes`, or with [ExitCode.FAILED] as soon as a check fails. Each selected soak runs at least once.
 */
fun main(args: Array<String>) {
    val parser = argParser("soak", args)
    val seed by parser.option(ArgType.Int, fullName = "seed", description = "First seed").default(1)
    val minutes by parser.option(ArgType.Double, fullName = "minutes", description = "Duration in minutes").default(1.0)
    val only by parser
        .option(
            ArgType.String,
            fullName = "only",
            description = "Soak to run: once, limit, limit-calm, limit-isolation, retry or config; default: all",
        ).default("")
    parser.parse(args)
    val soaks = SOAKS.filterKeys { only.isEmpty() || it == only }
    if (soaks.isEmpty()) fail(ExitCode.USAGE, "soak: unknown soak '$only'; use once, limit, limit-calm, limit-isolation, retry or config")
    val endMs = System.currentTimeMillis() + (minutes * MS_PER_MINUTE).toLong()
    var nextSeed = seed.toLong()
    while (nextSeed == seed.toLong() || System.currentTimeMillis() < endMs) {
        for ((name, soak) in soaks) runOne(name, nextSeed, soak)
        nextSeed++
    }
    println("""{"soak":"clean","firstSeed":$seed,"seeds":${nextSeed - seed},"soaks":"${soaks.keys.joinToString(" ")}"}""")
}

private val SOAKS: Map<String, (Long) -> String> =
    mapOf(
        "once" to { seed -> OnceSoak(seed).run { run(ONCE_VIRTUAL_MS).let { "attempts=$attemptCount runs=$runs" } } },
        "limit" to
            { seed ->
                LimitSoak(seed).run { run(LIMIT_VIRTUAL_MS).let { "admitted=$admitted refused=$refused wrongful=$wrongfulRefusals" } }
            },
        "limit-calm" to
            { seed ->
                LimitSoak(
                    seed,
                    faults = LimitFaults.NONE,
                ).run { run(LIMIT_VIRTUAL_MS).let { "admitted=$admitted refused=$refused wrongful=$wrongfulRefusals" } }
            },
        "limit-isolation" to
            { seed ->
                LimitSoak(seed, faults = LimitFaults.ISOLATION).run { run(LIMIT_VIRTUAL_MS).let { "admitted=$admitted refused=$refused" } }
            },
        "retry" to { seed -> RetrySoak(seed).run { run(CALL_TREES).let { "trees=$trees" } } },
        "config" to { seed -> ConfigSoak(seed).run { run(CONFIG_VIRTUAL_MS).let { "writes=$writes stored=$storedWrites" } } },
    )

private fun runOne(name: String, seed: Long, soak: (Long) -> String) {
    try {
        println("$name seed=$seed ${soak(seed)}")
    } catch (violation: InvariantViolation) {
        violation.trace.forEach { println(it) }
        println("FAILED check=${violation.check} soak=$name seed=$seed: ${violation.detail}")
        exitProcess(ExitCode.FAILED.code)
    }
}
