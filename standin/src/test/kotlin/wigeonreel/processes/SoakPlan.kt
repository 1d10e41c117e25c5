package wigeonreel.processes

import wigeonreel.standin.StoreFault
import kotlin.random.Random

/** One step of a run's schedule. */
sealed interface Step {
    /** SIGTERM, and a new start [downMs] after the process has ended. */
    data class Term(
        val vm: Int,
        val downMs: Long,
    ) : Step

    data class Kill(
        val vm: Int,
        val downMs: Long,
    ) : Step

    /** SIGSTOP, and SIGCONT after [forMs]. */
    data class Freeze(
        val vm: Int,
        val forMs: Long,
    ) : Step

    /** New settings and SIGHUP. */
    data class Reload(
        val vm: Int,
    ) : Step

    data object ChangeConfig : Step

    data class ReplaceServer(
        val vm: Int,
    ) : Step

    data class SlowServer(
        val vm: Int,
        val factor: Double,
        val forMs: Long,
    ) : Step

    data class SpoiledResponses(
        val vm: Int,
        val share: Double,
        val spoils: List<Spoil>,
        val forMs: Long,
    ) : Step

    data class StoreTrouble(
        val fault: StoreFault,
        val forMs: Long,
    ) : Step
}

/** Step at a time since the start of the load, in milliseconds. */
data class TimedStep(
    val atMs: Long,
    val step: Step,
)

/**
 * Schedule of one run, drawn from its seed: planned work alone, then all disruptions overlapping, then planned work during trouble
 * of the store.
 *
 * @param vmCount number of VMs.
 */
class SoakPlan(
    seed: Long,
    val vmCount: Int,
) {
    private val random = Random(seed)

    /** Requests of the clients of one VM. */
    val requestsPerSecond = random.nextDouble(4.0, 12.0)

    /** Factor on the duration of all requests. */
    val workFactor = random.nextDouble(0.5, 2.0)

    /** Pause in the middle of some uploads, in milliseconds. */
    val uploadPauseMs = random.nextLong(0, 400)

    /** Time between SIGTERM and SIGKILL, in seconds. */
    val graceS = listOf(4, 6, 6, 10).random(random)

    val steps: List<TimedStep> = (plannedWork(0) + overlapping() + duringStoreTrouble()).sortedBy { it.atMs }

    private fun plannedWork(fromMs: Long): List<TimedStep> =
        rollingTerm(fromMs + random.nextLong(500)) +
            scattered(fromMs, random.nextInt(1, 4)) { listOf(reload(), Step.ChangeConfig).random(random) }

    private fun overlapping(): List<TimedStep> =
        rollingTerm(PHASE_MS + random.nextLong(PHASE_MS / 2)) + scattered(PHASE_MS, random.nextInt(4, 10)) { anyStep() }

    private fun duringStoreTrouble(): List<TimedStep> =
        listOf(TimedStep(2 * PHASE_MS, storeTrouble())) + plannedWork(2 * PHASE_MS + random.nextLong(PHASE_MS / 4))

    /** SIGTERM to some VMs in turn, or to several at once. */
    private fun rollingTerm(fromMs: Long): List<TimedStep> {
        val gapMs = random.nextLong(0, 3_000)
        val vms = (0 until vmCount).shuffled(random).take(random.nextInt(1, maxOf(2, vmCount / 2) + 1))
        return vms.mapIndexed { index, vm -> TimedStep(fromMs + index * gapMs, Step.Term(vm, random.nextLong(100, 1_500))) }.filter {
            it.atMs <
                fromMs + PHASE_MS
        }
    }

    private fun scattered(fromMs: Long, count: Int, step: () -> Step) =
        List(count) { TimedStep(fromMs + random.nextLong(PHASE_MS), step()) }

    private fun anyStep(): Step =
        when (random.nextInt(10)) {
            0 -> Step.Kill(vm(), random.nextLong(100, 3_000))
            1, 2 -> Step.Freeze(vm(), random.nextLong(200, 5_000))
            3 -> reload()
            4 -> Step.ChangeConfig
            5 -> Step.ReplaceServer(vm())
            6 -> Step.SlowServer(vm(), random.nextDouble(2.0, 6.0), random.nextLong(1_000, 6_000))
            7 ->
                Step.SpoiledResponses(
                    vm(),
                    random.nextDouble(0.02, 0.5),
                    Spoil.entries.shuffled(random).take(random.nextInt(1, 4)),
                    random.nextLong(1_000, 6_000),
                )
            8 -> storeTrouble()
            else -> Step.Term(vm(), random.nextLong(100, 1_500))
        }

    private fun reload() = Step.Reload(vm())

    private fun storeTrouble() =
        Step.StoreTrouble(
            STORE_FAULTS.random(random),
            random.nextLong(2_000, 9_000),
        )

    private fun vm() = random.nextInt(vmCount)

    companion object {
        /** Duration of each of the three phases. */
        const val PHASE_MS = 11_000L

        /** Time between the last step and the end of the load, in which the fleet has to serve again. */
        const val RECOVERY_MS = 20_000L

        /** Leaves out the restore, after which the operator and the checks would have to repeat what was lost. */
        private val STORE_FAULTS = StoreFault.entries - setOf(StoreFault.NONE, StoreFault.COPY, StoreFault.RESTORE)
    }
}
