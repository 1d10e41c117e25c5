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

/** What one request tree carries. */
internal class Tree(
    val account: String,
    val worth: Worth,
    val weight: Double,
    val rootId: String,
    val deadlineMs: Long,
) {
    val rank = Rank.of(worth, rootId)
}

/** One server with the decision objects of the daemon beside it. */
internal class Vm(
    val number: Int,
    val service: Int,
    slots: Int,
    serviceMs: Long,
    queue: EventQueue,
) {
    val id = "d$number"
    val region = number / 2 % 2
    val domain = number % DOMAINS
    val backend = FakeBackend(queue, slots, serviceMs)
    val guard = Guard(slots, queue.nowMs)
    val cuts = ThresholdTable()
    val router = Router(kotlin.random.Random(number))
    val ratio = RetryRatio()
    var up = true

    companion object {
        /** Failure domains of the fleet. */
        const val DOMAINS = 4
    }
}

/** Runs one case with one kind of control: the real guards, routers, cuts and retry ledgers over fake servers and links. */
internal class OverloadRun(
    private val case: OverloadCase,
    private val control: Control,
    seed: Long,
) {
    private val queue = EventQueue(seed)
    private val startMs = queue.nowMs
    private val vms = (0 until SERVICES * SERVERS).map { Vm(it, it / SERVERS, slotsOf(it / SERVERS), serviceMsOf(it / SERVERS), queue) }
    private var roots = 0L

    /** Counts of the run. */
    val measures = OverloadMeasures(case)

    /** Runs the case to its end. */
    fun run(): OverloadMeasures {
        case.accounts.forEach { account -> OverloadCase.CLASSES.forEach { (worth, part) -> arrivals(account, worth, part) } }
        queue.after(OverloadCase.DISTURBED_FROM_MS) { disturb(true) }
        queue.after(OverloadCase.DISTURBED_TO_MS) { disturb(false) }
        queue.run(OverloadCase.END_MS + PATIENCE_MS)
        return measures
    }

    private fun disturb(on: Boolean) {
        vms.filter { it.service == SERVICES - 1 }.forEach { it.backend.slowFactor = if (on) case.deepSlow else 1.0 }
        if (case.lostDomain) vms.filter { it.domain == 0 }.forEach { it.up = !on }
    }

    private fun sinceStartMs() = queue.nowMs - startMs

    /** Starts the arrivals of one class of an account; [dueMs] is the exact time of the next, in milliseconds since the start. */
    private fun arrivals(account: CaseAccount, worth: Worth, part: Double, dueMs: Double = 0.0) {
        val disturbed = dueMs >= OverloadCase.DISTURBED_FROM_MS && dueMs < OverloadCase.DISTURBED_TO_MS
        val factor = if (disturbed) case.demand * account.factor else USUAL_DEMAND
        val perMs = CAPACITY_PER_MS * account.part * part * factor
        val nextMs = dueMs - Math.log(1.0 - queue.random.nextDouble()) / perMs
        if (nextMs >= OverloadCase.END_MS) return
        queue.after((nextMs.toLong() - sinceStartMs()).coerceAtLeast(0)) {
            call(account, worth, case.callerRetries)
            arrivals(account, worth, part, nextMs)
        }
    }

    private fun call(account: CaseAccount, worth: Worth, retriesLeft: Int) {
        val sentMs = sinceStartMs()
        val tree = Tree(account.name, worth, account.part, "root${++roots}", queue.nowMs + PATIENCE_MS)
        val first = retriesLeft == case.callerRetries
        if (first) measures.onSent(account.name, worth, sentMs)
        val entry = vms.filter { it.up }.random(queue.random)
        var answered = false
        val onDone = { whole: Boolean ->
            if (!answered) {
                answered = true
                val inTime = whole && queue.nowMs <= tree.deadlineMs
                if (inTime) measures.onWhole(account.name, worth, sentMs)
                if (!inTime && retriesLeft > 0) call(account, worth, retriesLeft - 1)
            }
        }
        queue.after(PATIENCE_MS) { onDone(false) }
        enter(entry, tree, RetryLedger(RETRY_BUDGET)) { whole, _ -> onDone(whole) }
    }

    private fun enter(entry: Vm, tree: Tree, ledger: RetryLedger, onDone: (Boolean, AdmissionThreshold) -> Unit) {
        val stream = ServiceStream("s0", Stream(tree.worth, tree.account))
        if (control == Control.WIGEONREEL &&
            !entry.cuts.admits(stream, tree.rank, queue.nowMs)
        ) {
            return onDone(false, AdmissionThreshold.NONE)
        }
        send(entry, 0, tree, ledger) { whole, cut ->
            entry.cuts.learn(stream, cut, queue.nowMs)
            onDone(whole, cut)
        }
    }

    /** Sends a call of [service] from the daemon [from], with retries on servers that refused it. */
    private fun send(
        from: Vm,
        service: Int,
        tree: Tree,
        ledger: RetryLedger,
        onDone: (Boolean, AdmissionThreshold) -> Unit,
    ) {
        from.ratio.onFirstAttempt()
        attempt(from, service, tree, ledger, HashSet(), onDone)
    }

    private fun attempt(
        from: Vm,
        service: Int,
        tree: Tree,
        ledger: RetryLedger,
        tried: HashSet<String>,
        onDone: (Boolean, AdmissionThreshold) -> Unit,
    ) {
        val candidates = vms.filter { it.service == service && it.up }.map { Candidate(it.id, distance(from, it), it.backend.slots) }
        val route = from.router.choose(candidates, tried, queue.nowMs)
        if (route !is RouteDecision.To) return onDone(false, AdmissionThreshold.NONE)
        val target = vms.first { it.id == route.daemon }
        tried += target.id
        val handedDown = ledger.reserve(ledger.remaining - 1)
        from.router.onSent(target.id)
        queue.after(delayMs(from, target)) {
            serve(target, service, tree, RetryLedger(handedDown)) { whole, refused, cut, spent ->
                queue.after(delayMs(from, target)) {
                    from.router.onReply(target.id, target.guard.inFlight, target.guard.concurrencyLimit, queue.nowMs)
                    ledger.settle(handedDown, spent)
                    val again = !whole && refused && tried.size < MAX_ATTEMPTS && mayRetry(from, ledger)
                    if (again) attempt(from, service, tree, ledger, tried, onDone) else onDone(whole, cut)
                }
            }
        }
    }

    private fun mayRetry(from: Vm, ledger: RetryLedger) =
        when (control) {
            Control.WIGEONREEL -> from.ratio.tryRetry() && ledger.reserve(1) == 1
            Control.NONE, Control.FIXED_LIMIT -> true
        }

    private fun serve(
        vm: Vm,
        service: Int,
        tree: Tree,
        ledger: RetryLedger,
        onDone: (Boolean, Boolean, AdmissionThreshold, Int) -> Unit,
    ) {
        val decision = admit(vm, service, tree)
        val cut = decision.threshold
        if (decision is GuardDecision.Refuse) return onDone(false, true, cut, 0)
        val startedMs = queue.nowMs
        val accepted =
            vm.backend.serve {
                if (service == SERVICES - 1) return@serve finish(vm, startedMs, tree, true, cut, ledger, onDone)
                if (control == Control.WIGEONREEL &&
                    queue.nowMs > tree.deadlineMs
                ) {
                    return@serve finish(vm, startedMs, tree, false, cut, ledger, onDone)
                }
                send(vm, service + 1, tree, ledger) { whole, childCut ->
                    finish(vm, startedMs, tree, whole, if (childCut.minPosition > cut.minPosition) childCut else cut, ledger, onDone)
                }
            }
        if (!accepted) {
            if (control == Control.WIGEONREEL) vm.guard.onShed()
            onDone(false, true, cut, 0)
        }
    }

    private fun admit(vm: Vm, depth: Int, tree: Tree): GuardDecision {
        val request = GuardRequest(tree.rank, tree.account, tree.weight, depth, tree.deadlineMs)
        return if (control == Control.WIGEONREEL) vm.guard.decide(request, queue.nowMs) else fixed(vm)
    }

    private fun fixed(vm: Vm): GuardDecision {
        val full = control == Control.FIXED_LIMIT && vm.backend.load >= vm.backend.slots * 2
        return if (full) GuardDecision.Refuse(Refusal.OVERLOADED, AdmissionThreshold.NONE) else GuardDecision.Admit(AdmissionThreshold.NONE)
    }

    private fun finish(
        vm: Vm,
        startedMs: Long,
        tree: Tree,
        whole: Boolean,
        cut: AdmissionThreshold,
        ledger: RetryLedger,
        onDone: (Boolean, Boolean, AdmissionThreshold, Int) -> Unit,
    ) {
        vm.backend.release()
        if (control == Control.WIGEONREEL) {
            if (queue.nowMs <= tree.deadlineMs) vm.guard.onAnswer((queue.nowMs - startedMs).toDouble()) else vm.guard.onShed()
        }
        onDone(whole && vm.up, false, cut, ledger.spent)
    }

    private fun distance(from: Vm, to: Vm) =
        when {
            from.region != to.region -> Distance.OTHER_REGION
            from.domain != to.domain -> Distance.SAME_REGION
            else -> Distance.SAME_FAILURE_DOMAIN
        }

    private fun delayMs(from: Vm, to: Vm) = if (from.region != to.region) FAR_MS else NEAR_MS

    private companion object {
        const val SERVICES = 4
        const val SERVERS = 4
        const val DEEPEST_SLOTS = 25
        const val OTHER_SLOTS = 90
        const val DEEPEST_SERVICE_MS = 50L

        fun slotsOf(service: Int) = if (service == SERVICES - 1) DEEPEST_SLOTS else OTHER_SLOTS

        const val SERVICE_MS = 10L

        fun serviceMsOf(service: Int) = if (service == SERVICES - 1) DEEPEST_SERVICE_MS else SERVICE_MS

        const val PATIENCE_MS = 300L
        const val RETRY_BUDGET = 3
        const val MAX_ATTEMPTS = 3
        const val NEAR_MS = 1L
        const val FAR_MS = 8L

        /** The deepest service is the narrowest: its servers answer this many calls in a millisecond. */
        const val CAPACITY_PER_MS = SERVERS * DEEPEST_SLOTS / DEEPEST_SERVICE_MS.toDouble()
        const val USUAL_DEMAND = 0.6
    }
}
