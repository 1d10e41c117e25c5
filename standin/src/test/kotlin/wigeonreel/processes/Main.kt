package wigeonreel.processes

import kotlinx.cli.ArgType
import kotlinx.cli.default
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import java.io.File
import kotlin.system.exitProcess

private const val MS_PER_MINUTE = 60_000L
private const val DEFAULT_VMS = 8
private const val NETS = 200

/** Runs `soak --processes`: one run after another with the next seed, until `--minutes` are over; each failed run keeps its logs. */
fun main(args: Array<String>) {
    val parser = argParser("soak", args)
    val seed by parser.option(ArgType.Int, fullName = "seed", description = "First seed").default(1)
    val minutes by parser.option(ArgType.Double, fullName = "minutes", description = "Duration in minutes").default(1.0)
    val vms by parser.option(ArgType.Int, fullName = "vms", description = "Number of daemons").default(DEFAULT_VMS)
    val root by parser.option(ArgType.String, fullName = "root", description = "Root of the repository").default(".")
    parser.parse(args)
    val endMs = System.currentTimeMillis() + (minutes * MS_PER_MINUTE).toLong()
    val net = 1 + (ProcessHandle.current().pid() % NETS).toInt()
    var next = seed.toLong()
    var failed = 0
    while (next == seed.toLong() || System.currentTimeMillis() < endMs) if (!playSeed(next++, vms, net, File(root).canonicalFile)) failed++
    println("""{"soak":"${if (failed == 0) "clean" else "failed"}","firstSeed":$seed,"seeds":${next - seed},"failed":$failed,"vms":$vms}""")
    exitProcess(if (failed == 0) ExitCode.OK.code else ExitCode.FAILED.code)
}

private fun playSeed(seed: Long, vms: Int, net: Int, root: File): Boolean {
    val directory = File(root, "target/soak/seed-$seed-vms-$vms").also { it.deleteRecursively() }
    val (violations, records) = ProcessSoak(SoakPlan(seed, vms), seed, net, root, directory).use { it.play() to it.records }
    val ends = records.attempts.groupingBy { it.end }.eachCount()
    println(
        "processes seed=$seed vms=$vms attempts=${records.attempts.size} ends=$ends violations=${violations.groupingBy {
            it.check
        }.eachCount()}",
    )
    if (violations.isEmpty()) {
        directory.deleteRecursively()
        return true
    }
    File(directory, "violations.txt").writeText(violations.joinToString("\n") { "${it.check}: ${it.detail}" })
    violations.distinctBy { it.check }.forEach { println("FAILED check=${it.check} seed=$seed: ${it.detail}") }
    println("again: ./soak --processes --seed $seed --minutes 0 --vms $vms; logs: $directory")
    return false
}
