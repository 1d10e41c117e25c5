package wigeonreel.bench

import wigeonreel.admission.AdmissionThreshold
import wigeonreel.admission.Guard
import wigeonreel.admission.GuardDecision
import wigeonreel.admission.GuardRequest
import wigeonreel.admission.Rank
import wigeonreel.admission.ServiceStream
import wigeonreel.admission.Stream
import wigeonreel.admission.ThresholdTable
import wigeonreel.config.Worth
import wigeonreel.outcome.Refusal
import wigeonreel.place.Distance
import wigeonreel.retry.RetryLedger
import wigeonreel.retry.RetryRatio
import wigeonreel.routing.Candidate
import wigeonreel.routing.RouteDecision
import wigeonreel.routing.Router
import wigeonreel.soak.EventQueue

/** Attributes shared by all calls of one request tree. */
internal class RequestTree(
    val account: String,
    val worth: Worth,
    val weight: Double,
    val rootId: String,
    val deadlineMs: Long,
) {
    val rank = Rank.of(worth, rootId)
}

/** VM with a backend server and the request-path components of its daemon. */
internal class Vm(
    val number: Int,
    val service: Int,
    slots: Int,
    serviceTimeMs: Long,
    queue: EventQueue,
) {
    val id = "d$number"
    val region = number / 2 % 2
    val domain = number % DOMAINS
    val backend = FakeBackend(queue, slots, serviceTimeMs)
    val guard = Guard(slots, queue.nowMs)
    val thresholds = ThresholdTable()
    val router = Router(kotlin.random.Random(number))
    val retryRatio = RetryRatio()
    var up = true

    companion object {
        /** Number of failure domains in the fleet. */
        const val DOMAINS = 4
    }
}

/**
 * Runs one overload case with one [Control].
 *
 * Uses the production guards, routers, admission thresholds and retry ledgers with simulated servers and network delays.
 */
internal class OverloadRun(
    private val case: OverloadCase,
    private val control: Control,
    seed: Long,
) {
    private val queue = EventQueue(seed)
    private val startMs = queue.nowMs
    private val vms =
        (0 until SERVICES * SERVERS_PER_SERVICE).map {
            Vm(it, it / SERVERS_PER_SERVICE, slotsOf(it / SERVERS_PER_SERVICE), serviceTimeMsOf(it / SERVERS_PER_SERVICE), queue)
        }
    private var rootCount = 0L

    /** Measures of the run. */
    val measures = OverloadMeasures(case)

    /** Runs the case to its end and returns the measures. */
    fun run(): OverloadMeasures {
        case.accounts.forEach { account -> OverloadCase.WORTH_SHARES.forEach { (worth, share) -> scheduleArrivals(account, worth, share) } }
        queue.after(OverloadCase.DISTURBED_FROM_MS) { setDisturbance(true) }
        queue.after(OverloadCase.DISTURBED_TO_MS) { setDisturbance(false) }
        queue.run(OverloadCase.END_MS + CALLER_TIMEOUT_MS)
        return measures
    }

    private fun setDisturbance(active: Boolean) {
        vms.filter { it.service == SERVICES - 1 }.forEach { it.backend.slowFactor = if (active) case.deepestSlowFactor else 1.0 }
        if (case.lostDomain) vms.filter { it.domain == 0 }.forEach { it.up = !active }
    }

    private fun sinceStartMs() = queue.nowMs - startMs

    /**
     * Schedules the arrivals of one worth class of an account.
     *
     * @param previousMs exact time of the previous arrival, in milliseconds since the start.
     */
    private fun scheduleArrivals(account: CaseAccount, worth: Worth, share: Double, previousMs: Double = 0.0) {
        val disturbed = previousMs >= OverloadCase.DISTURBED_FROM_MS && previousMs < OverloadCase.DISTURBED_TO_MS
        val factor = if (disturbed) case.demand * account.factor else BASE_DEMAND
        val perMs = CAPACITY_PER_MS * account.share * share * factor
        val nextMs = previousMs - Math.log(1.0 - queue.random.nextDouble()) / perMs
        if (nextMs >= OverloadCase.END_MS) return
        queue.after((nextMs.toLong() - sinceStartMs()).coerceAtLeast(0)) {
            sendRequest(account, worth, case.callerRetries)
            scheduleArrivals(account, worth, share, nextMs)
        }
    }

    private fun sendRequest(account: CaseAccount, worth: Worth, retriesLeft: Int) {
        val sentMs = sinceStartMs()
        val tree = RequestTree(account.name, worth, account.share, "root${++rootCount}", queue.nowMs + CALLER_TIMEOUT_MS)
        val isFirstAttempt = retriesLeft == case.callerRetries
        if (isFirstAttempt) measures.onSent(account.name, worth, sentMs)
        val entry = vms.filter { it.up }.random(queue.random)
        var answered = false
        val onDone = { succeeded: Boolean ->
            if (!answered) {
                answered = true
                val inTime = succeeded && queue.nowMs <= tree.deadlineMs
                if (inTime) measures.onSuccess(account.name, worth, sentMs)
                if (!inTime && retriesLeft > 0) sendRequest(account, worth, retriesLeft - 1)
            }
        }
        queue.after(CALLER_TIMEOUT_MS) { onDone(false) }
        enter(entry, tree, RetryLedger(RETRY_BUDGET)) { succeeded, _ -> onDone(succeeded) }
    }

    private fun enter(entry: Vm, tree: RequestTree, ledger: RetryLedger, onDone: (Boolean, AdmissionThreshold) -> Unit) {
        val stream = ServiceStream("s0", Stream(tree.worth, tree.account))
        if (control == Control.WIGEONREEL &&
            !entry.thresholds.admits(stream, tree.rank, queue.nowMs)
        ) {
            return onDone(false, AdmissionThreshold.NONE)
        }
        send(entry, 0, tree, ledger) { succeeded, threshold ->
            entry.thresholds.learn(stream, threshold, queue.nowMs)
            onDone(succeeded, threshold)
        }
    }

    /** Sends a call to [service] from the daemon of [from]; retries it on other servers if one refuses it. */
    private fun send(
        from: Vm,
        service: Int,
        tree: RequestTree,
        ledger: RetryLedger,
        onDone: (Boolean, AdmissionThreshold) -> Unit,
    ) {
        from.retryRatio.onFirstAttempt()
        attempt(from, service, tree, ledger, HashSet(), onDone)
    }

    private fun attempt(
        from: Vm,
        service: Int,
        tree: RequestTree,
        ledger: RetryLedger,
        tried: HashSet<String>,
        onDone: (Boolean, AdmissionThreshold) -> Unit,
    ) {
        val candidates = vms.filter { it.service == service && it.up }.map { Candidate(it.id, distance(from, it), it.backend.slots) }
        val route = from.router.choose(candidates, tried, queue.nowMs)
        if (route !is RouteDecision.To) return onDone(false, AdmissionThreshold.NONE)
        val target = vms.first { it.id == route.daemon }
        tried += target.id
        val nestedBudget = ledger.reserve(ledger.remaining - 1)
        from.router.onSent(target.id)
        queue.after(delayMs(from, target)) {
            serve(target, service, tree, RetryLedger(nestedBudget)) { succeeded, refused, threshold, spentRetries ->
                queue.after(delayMs(from, target)) {
                    from.router.onReply(target.id, target.guard.inFlight, target.guard.concurrencyLimit, queue.nowMs)
                    ledger.settle(nestedBudget, spentRetries)
                    val shouldRetry = !succeeded && refused && tried.size < MAX_ATTEMPTS && mayRetry(from, ledger)
                    if (shouldRetry) attempt(from, service, tree, ledger, tried, onDone) else onDone(succeeded, threshold)
                }
            }
        }
    }

    private fun mayRetry(from: Vm, ledger: RetryLedger) =
        when (control) {
            Control.WIGEONREEL -> from.retryRatio.tryRetry() && ledger.reserve(1) == 1
            Control.NONE, Control.FIXED_LIMIT -> true
        }

    private fun serve(
        vm: Vm,
        service: Int,
        tree: RequestTree,
        ledger: RetryLedger,
        onDone: (Boolean, Boolean, AdmissionThreshold, Int) -> Unit,
    ) {
        val decision = admit(vm, service, tree)
        val threshold = decision.threshold
        if (decision is GuardDecision.Refuse) return onDone(false, true, threshold, 0)
        val startedMs = queue.nowMs
        val accepted =
            vm.backend.serve {
                if (service == SERVICES - 1) return@serve finish(vm, startedMs, tree, true, threshold, ledger, onDone)
                if (control == Control.WIGEONREEL &&
                    queue.nowMs > tree.deadlineMs
                ) {
                    return@serve finish(vm, startedMs, tree, false, threshold, ledger, onDone)
                }
                send(vm, service + 1, tree, ledger) { succeeded, childThreshold ->
                    finish(
                        vm,
                        startedMs,
                        tree,
                        succeeded,
                        if (childThreshold.minPosition > threshold.minPosition) childThreshold else threshold,
                        ledger,
                        onDone,
                    )
                }
            }
        if (!accepted) {
            if (control == Control.WIGEONREEL) vm.guard.onShed()
            onDone(false, true, threshold, 0)
        }
    }

    private fun admit(vm: Vm, depth: Int, tree: RequestTree): GuardDecision {
        val request = GuardRequest(tree.rank, tree.account, tree.weight, depth, tree.deadlineMs)
        return if (control == Control.WIGEONREEL) vm.guard.decide(request, queue.nowMs) else decideByFixedLimit(vm)
    }

    private fun decideByFixedLimit(vm: Vm): GuardDecision {
        val full = control == Control.FIXED_LIMIT && vm.backend.load >= vm.backend.slots * 2
        return if (full) GuardDecision.Refuse(Refusal.OVERLOADED, AdmissionThreshold.NONE) else GuardDecision.Admit(AdmissionThreshold.NONE)
    }

    private fun finish(
        vm: Vm,
        startedMs: Long,
        tree: RequestTree,
        succeeded: Boolean,
        threshold: AdmissionThreshold,
        ledger: RetryLedger,
        onDone: (Boolean, Boolean, AdmissionThreshold, Int) -> Unit,
    ) {
        vm.backend.release()
        if (control == Control.WIGEONREEL) {
            if (queue.nowMs <= tree.deadlineMs) vm.guard.onAnswer((queue.nowMs - startedMs).toDouble()) else vm.guard.onShed()
        }
        onDone(succeeded && vm.up, false, threshold, ledger.spent)
    }

    private fun distance(from: Vm, to: Vm) =
        when {
            from.region != to.region -> Distance.OTHER_REGION
            from.domain != to.domain -> Distance.SAME_REGION
            else -> Distance.SAME_FAILURE_DOMAIN
        }

    private fun delayMs(from: Vm, to: Vm) = if (from.region != to.region) CROSS_REGION_DELAY_MS else SAME_REGION_DELAY_MS

    private companion object {
        const val SERVICES = 4
        const val SERVERS_PER_SERVICE = 4
        const val DEEPEST_SLOTS = 25
        const val OTHER_SLOTS = 90
        const val DEEPEST_SERVICE_TIME_MS = 50L

        fun slotsOf(service: Int) = if (service == SERVICES - 1) DEEPEST_SLOTS else OTHER_SLOTS

        const val OTHER_SERVICE_TIME_MS = 10L

        fun serviceTimeMsOf(service: Int) = if (service == SERVICES - 1) DEEPEST_SERVICE_TIME_MS else OTHER_SERVICE_TIME_MS

        const val CALLER_TIMEOUT_MS = 300L
        const val RETRY_BUDGET = 3
        const val MAX_ATTEMPTS = 3
        const val SAME_REGION_DELAY_MS = 1L
        const val CROSS_REGION_DELAY_MS = 8L

        /** Capacity in calls per millisecond of the deepest service, which has the least capacity. */
        const val CAPACITY_PER_MS = SERVERS_PER_SERVICE * DEEPEST_SLOTS / DEEPEST_SERVICE_TIME_MS.toDouble()

        /** Offered load outside the disturbance, as a multiple of the capacity of the deepest service. */
        const val BASE_DEMAND = 0.6
    }
}
