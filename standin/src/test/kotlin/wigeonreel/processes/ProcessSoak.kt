package wigeonreel.processes

import wigeonreel.standin.StoreFault
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.math.ln
import kotlin.random.Random

/**
 * Plays the schedule of [plan] against daemons that run as separate processes, with stand-ins for the store, the servers and the clients.
 *
 * @param net second part of the loopback addresses that this run uses.
 */
class ProcessSoak(
    private val plan: SoakPlan,
    seed: Long,
    net: Int,
    root: File,
    directory: File,
) : AutoCloseable {
    private val bounds = Bounds(graceMs = plan.graceS * MS_PER_SECOND)
    private val shape =
        FleetShape(
            List(plan.vmCount) { SoakShape.services[it % SoakShape.services.size] },
            SoakShape.clientRoutes.map { it.first },
            { route -> SoakShape.work(route, plan.workFactor) },
            SoakShape::configuration,
        )
    private val fleet = SoakFleet(shape, seed, net, root, directory, DaemonProcess.BOUNDS + ("graceS" to plan.graceS.toString()))
    private val vms = fleet.vms
    val records = fleet.records
    private val pool = Executors.newCachedThreadPool { task -> Thread(null, task, "client", CLIENT_STACK_BYTES).apply { isDaemon = true } }
    private val steps = Executors.newCachedThreadPool { task -> Thread(task, "step").apply { isDaemon = true } }
    private val openDisruptions = ConcurrentHashMap.newKeySet<Disruption>()

    /** Plays the run and returns the violations. */
    fun play(): List<Violation> {
        fleet.start(bounds.stableWindowMs)
        val loadStartMs = fleet.nowMs()
        val loadEndMs = loadStartMs + 3 * SoakPlan.PHASE_MS + SoakPlan.RECOVERY_MS
        val stopAtMs = loadEndMs - bounds.graceMs - MS_PER_SECOND
        val loads = vms.mapIndexed { index, vm -> inBackground("load-$index") { load(vm, loadEndMs, fleet.randomOf("load", index)) } }
        inBackground("watch") { watchProcesses() }
        for (timed in plan.steps) {
            fleet.sleepUntil(loadStartMs + timed.atMs)
            steps.execute { play(timed.step) }
        }
        fleet.sleepUntil(stopAtMs)
        // All daemons stop while their clients go on.
        vms.map { vm -> steps.submit { stop(vm, null) } }.forEach { it.get() }
        loads.forEach { it.join() }
        openDisruptions.forEach { records.disruptions += it }
        return LostChecks(records, bounds).all() + RequestChecks(records).all() + processChecks() + recoveryCheck(stopAtMs - MS_PER_SECOND)
    }

    private fun inBackground(name: String, action: () -> Unit) = thread(isDaemon = true, name = name) { action() }

    /** Sends requests at random times until [endMs], each on a thread of its own. */
    private fun load(vm: SoakVm, endMs: Long, random: Random) {
        var nextMs = fleet.nowMs().toDouble()
        while (nextMs < endMs) {
            fleet.sleepUntil(nextMs.toLong())
            val ask = ask(route(random), random)
            pool.execute { vm.clients.call(ask) }
            nextMs += -ln(1 - random.nextDouble()) * MS_PER_SECOND / plan.requestsPerSecond
        }
    }

    private fun route(random: Random): Route {
        var position = random.nextDouble() * SoakShape.clientRoutes.sumOf { it.second }
        return SoakShape.clientRoutes
            .first { (_, weight) ->
                position -= weight
                position < 0
            }.first
    }

    private fun ask(route: Route, random: Random): Ask {
        val body =
            if (route.idempotent) {
                0
            } else if (route == SoakShape.upload) {
                random.nextInt(10_000, 120_000)
            } else {
                random.nextInt(500, 8_000)
            }
        val pauseMs = if (route == SoakShape.upload && random.nextBoolean()) plan.uploadPauseMs else 0
        val key = if (route.open) null else "key${random.nextInt(SoakShape.ACCOUNTS)}"
        return Ask(route, route.timeoutMs, key, random.nextBytes(body), pauseMs)
    }

    private fun play(step: Step) {
        fleet.log(step.toString())
        when (step) {
            is Step.Term -> exclusively(vms[step.vm]) { stop(it, step.downMs) }
            is Step.Kill ->
                exclusively(vms[step.vm]) {
                    disrupt(DisruptionKind.KILL, it) {
                        it.daemon.kill()
                        Thread.sleep(step.downMs)
                        it.daemon.start()
                    }
                }
            is Step.Freeze ->
                exclusively(vms[step.vm]) {
                    disrupt(DisruptionKind.FREEZE, it) {
                        it.daemon.signal("STOP")
                        Thread.sleep(step.forMs)
                        it.daemon.signal("CONT")
                    }
                }
            is Step.Reload ->
                disrupt(DisruptionKind.HUP, vms[step.vm]) {
                    it.daemon.placeSettings()
                    it.daemon.signal("HUP")
                }
            Step.ChangeConfig -> changeConfig()
            is Step.ReplaceServer -> disrupt(DisruptionKind.LEAVE, vms[step.vm]) { it.server.replace() }
            is Step.SlowServer ->
                disrupt(DisruptionKind.SERVER, vms[step.vm]) {
                    it.server.slowFactor = step.factor
                    Thread.sleep(step.forMs)
                    it.server.slowFactor = 1.0
                }
            is Step.SpoiledResponses ->
                disrupt(DisruptionKind.SERVER, vms[step.vm]) {
                    it.server.spoils = step.spoils
                    it.server.spoilShare = step.share
                    Thread.sleep(step.forMs)
                    it.server.spoilShare = 0.0
                }
            is Step.StoreTrouble ->
                disrupt(DisruptionKind.STORE, null) {
                    fleet.storeFault(step.fault)
                    Thread.sleep(step.forMs)
                    fleet.storeFault(StoreFault.NONE)
                }
        }
    }

    /** Runs [action] unless another one is under way on the same process. */
    private fun exclusively(vm: SoakVm, action: (SoakVm) -> Unit) {
        if (!vm.busy.compareAndSet(false, true)) return
        try {
            action(vm)
        } finally {
            vm.busy.set(false)
        }
    }

    private fun <T : SoakVm?> disrupt(kind: DisruptionKind, vm: T, action: (T) -> Unit) {
        val open = Disruption(kind, vm?.daemon?.name, fleet.nowMs(), Long.MAX_VALUE / 2)
        openDisruptions += open
        action(vm)
        records.disruptions += open.copy(endMs = fleet.nowMs())
        openDisruptions -= open
    }

    private fun stop(vm: SoakVm, restartAfterMs: Long?) =
        disrupt(DisruptionKind.TERM, vm) {
            if (!vm.daemon.stop(bounds.graceMs)) records.overruns += "${vm.daemon.name} at ${fleet.nowMs()}"
            if (restartAfterMs != null) {
                Thread.sleep(restartAfterMs)
                vm.daemon.start()
            }
        }

    private fun changeConfig() =
        disrupt(DisruptionKind.CONFIG, null) {
            fleet.changeConfig()
        }

    private fun watchProcesses() {
        while (true) {
            for (vm in vms) {
                if (!vm.daemon.expectedAlive || vm.daemon.alive) continue
                vm.daemon.expectedAlive = false
                records.unexpectedEnds += "${vm.daemon.name} at ${fleet.nowMs()}"
                fleet.log("${vm.daemon.name} has ended by itself")
                exclusively(vm) { it.daemon.start() }
            }
            Thread.sleep(SoakFleet.RETRY_DELAY_MS)
        }
    }

    private fun processChecks() =
        records.unexpectedEnds.map { Violation("ended-by-itself", it) } + records.overruns.map { Violation("alive-after-grace-period", it) }

    /** Checks that the fleet serves again in the last [RECOVERED_MS] before [untilMs]. */
    private fun recoveryCheck(untilMs: Long): List<Violation> {
        val asked = records.attempts.filter { it.sentAtMs in untilMs - RECOVERED_MS..untilMs }
        val served = asked.count { it.status == SoakFleet.OK }
        return if (served < asked.size * MIN_SERVED_SHARE) listOf(Violation("not-recovered", "$served of ${asked.size}")) else emptyList()
    }

    override fun close() {
        steps.shutdownNow()
        fleet.close()
        pool.shutdownNow()
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val CLIENT_STACK_BYTES = 262_144L

        /** Time before the end of the run in which the fleet has to serve. */
        const val RECOVERED_MS = 1_000L

        /** Minimum share of the requests that are served after the last disruption. */
        const val MIN_SERVED_SHARE = 0.25
    }
}
