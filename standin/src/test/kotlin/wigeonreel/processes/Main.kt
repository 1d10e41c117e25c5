package wigeonreel.processes

import kotlinx.cli.ArgType
import kotlinx.cli.default
import wigeonreel.command.ExitCode
import wigeonreel.command.argParser
import java.io.File
import java.util.concurrent.Executors
import kotlin.system.exitProcess

private const val MS_PER_MINUTE = 60_000L
private const val DEFAULT_VMS = 8
private const val NETS = 200
private const val MS_PER_SECOND = 1_000

/** Environment variable that keeps the logs of clean runs too. */
private const val KEEP_VARIABLE = "WIGEONREEL_KEEP_LOGS"
private const val DEFAULT_GRACES = "0.5,1,2,4,6,10"

/**
 * Runs `soak --processes`: one run after another with the next seed, until `--minutes` are over; each failed run keeps its logs.
 *
 * With `--shutdown`, plays one shutdown for each grace period, all at once.
 */
fun main(args: Array<String>) {
    val parser = argParser("soak", args)
    val seed by parser.option(ArgType.Int, fullName = "seed", description = "First seed").default(1)
    val minutes by parser.option(ArgType.Double, fullName = "minutes", description = "Duration in minutes").default(1.0)
    val vms by parser.option(ArgType.Int, fullName = "vms", description = "Number of daemons").default(DEFAULT_VMS)
    val shutdown by parser
        .option(ArgType.Boolean, fullName = "shutdown", description = "Send requests at all moments of one daemon's shutdown")
        .default(false)
    val graces by parser
        .option(ArgType.String, fullName = "graces", description = "Grace periods for --shutdown, in seconds")
        .default(DEFAULT_GRACES)
    val root by parser.option(ArgType.String, fullName = "root", description = "Root of the repository").default(".")
    parser.parse(args)
    val endMs = System.currentTimeMillis() + (minutes * MS_PER_MINUTE).toLong()
    val net = 1 + (ProcessHandle.current().pid() % NETS).toInt()
    if (shutdown) exitProcess(playShutdowns(seed.toLong(), graces.split(','), net, File(root).canonicalFile).code)
    var next = seed.toLong()
    var failed = 0
    while (next == seed.toLong() || System.currentTimeMillis() < endMs) if (!playSeed(next++, vms, net, File(root).canonicalFile)) failed++
    println("""{"soak":"${if (failed == 0) "clean" else "failed"}","firstSeed":$seed,"seeds":${next - seed},"failed":$failed,"vms":$vms}""")
    exitProcess(if (failed == 0) ExitCode.OK.code else ExitCode.FAILED.code)
}

private fun playShutdowns(seed: Long, graces: List<String>, net: Int, root: File): ExitCode {
    val pool = Executors.newFixedThreadPool(graces.size)
    val runs =
        graces.mapIndexed { index, graceS ->
            val graceMs = (graceS.toDouble() * MS_PER_SECOND).toLong()
            pool.submit<Boolean> { playShutdown(graceMs, seed, 1 + (net + index) % NETS, root) }
        }
    return if (runs.map { it.get() }.all { it }) ExitCode.OK else ExitCode.FAILED
}

private fun playShutdown(graceMs: Long, seed: Long, net: Int, root: File): Boolean {
    val directory = File(root, "target/soak/shutdown-$graceMs-seed-$seed").also { it.deleteRecursively() }
    val sweep = ShutdownSweep(graceMs, seed, net, root, directory)
    val violations = sweep.use { it.play() }
    val again = "./soak --processes --shutdown --graces ${graceMs / MS_PER_SECOND.toDouble()} --seed $seed"
    return report("shutdown graceMs=$graceMs seed=$seed", sweep.records, violations, directory, again, "\n${sweep.outcomes()}")
}

private fun playSeed(seed: Long, vms: Int, net: Int, root: File): Boolean {
    val directory = File(root, "target/soak/seed-$seed-vms-$vms").also { it.deleteRecursively() }
    val (violations, records) = ProcessSoak(SoakPlan(seed, vms), seed, net, root, directory).use { it.play() to it.records }
    return report("processes seed=$seed vms=$vms", records, violations, directory, "./soak --processes --seed $seed --minutes 0 --vms $vms")
}

/** Prints the outcome of a run and keeps the logs of a failed one; returns whether there was no violation. */
private fun report(
    name: String,
    records: Records,
    violations: List<Violation>,
    directory: File,
    again: String,
    details: String = "",
): Boolean {
    val ends = records.attempts.groupingBy { if (it.end == AttemptEnd.ANSWERED) it.status.toString() else it.end.toString() }.eachCount()
    println("$name attempts=${records.attempts.size} ends=$ends violations=${violations.groupingBy { it.check }.eachCount()}$details")
    if (violations.isEmpty() && System.getenv(KEEP_VARIABLE) == null) {
        directory.deleteRecursively()
        return true
    }
    File(directory, "attempts.txt").writeText(records.attempts.sortedBy { it.sentAtMs }.joinToString("\n"))
    if (violations.isEmpty()) return true
    File(directory, "violations.txt").writeText(violations.joinToString("\n") { "${it.check}: ${it.detail}" })
    violations.distinctBy { it.check }.forEach { println("FAILED check=${it.check} $name: ${it.detail}") }
    println("again: $again; logs: $directory")
    return false
}
