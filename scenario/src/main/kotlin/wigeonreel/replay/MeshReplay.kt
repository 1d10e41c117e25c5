package wigeonreel.replay

import wigeonreel.admission.Admission
import wigeonreel.admission.Arrival
import wigeonreel.admission.Ticket
import wigeonreel.config.Configuration
import wigeonreel.membership.Member
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.outcome.Refusal
import wigeonreel.place.Distance
import wigeonreel.place.Place
import wigeonreel.routing.Placement
import wigeonreel.routing.RouteDecision
import wigeonreel.soak.EventQueue
import wigeonreel.traffic.FleetView
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * Plays a load pattern against the decisions of the request path on virtual time: the real routers, placements, waiting
 * rooms and feedback of each daemon over servers with slots and speeds. Account limits and faults of daemons are left out.
 */
internal class MeshReplay(
    private val shape: LoadShape,
    seed: Long,
) {
    private val queue = EventQueue(seed)
    private val startMs = queue.nowMs
    private val vms = build()
    private val byId = vms.associateBy { it.member.id }

    /** Counts of the run. */
    val measures = ReplayMeasures(shape)

    /** Plays the pattern to its end. */
    fun run(): ReplayMeasures {
        shape.demand.forEach { arrivals(it, 0.0) }
        queue.after(shape.troubleSpan.fromMs) { trouble(true) }
        queue.after(shape.troubleSpan.toMs) { trouble(false) }
        sweep()
        queue.run(shape.lengthMs + DRAIN_MS)
        return measures
    }

    private fun build(): List<ReplayVm> {
        val members =
            shape.services.flatMap { service ->
                service.perDomain.flatMapIndexed { domain, count ->
                    List(count) {
                        val place = Place("r${domain % REGIONS}", "z$domain")
                        val id = "${service.name}-$domain-$it"
                        Member
                            .starting(id, 1, PeerAddress(id, 1), place)
                            .copy(server = ServerInfo(service.name, service.slots, ready = true))
                    }
                }
            }
        return members.mapIndexed { number, member -> ReplayVm(member, SPEEDS[number % SPEEDS.size], number.toLong()) }.also { all ->
            all.forEach { it.view = FleetView(it.member, members, Configuration.EMPTY) }
        }
    }

    private fun trouble(on: Boolean) {
        val troubled = vms.filter { it.member.server!!.service == shape.troubled }
        troubled.take((troubled.size * shape.lostShare).toInt()).forEach { it.lost = on }
        troubled.forEach { it.shed = if (on) shape.shedShare else 0.0 }
        queue.after(NEWS_MS) { refreshViews() }
        troubled.take((troubled.size * shape.slowShare).toInt()).forEach { it.slow = if (on) shape.slowFactor else 1.0 }
    }

    private fun refreshViews() {
        val members = vms.map { it.member.copy(server = it.member.server!!.copy(ready = !it.lost)) }
        vms.forEach { it.view = FleetView(it.member, members, Configuration.EMPTY) }
    }

    private fun sinceStartMs() = queue.nowMs - startMs

    private fun arrivals(demand: Demand, dueMs: Double) {
        val factor = if (dueMs.toLong() in shape.surgeSpan) shape.surge else 1.0
        val nextMs = dueMs - ln(1.0 - queue.random.nextDouble()) * MS_PER_SECOND / (demand.perSecond * factor)
        if (nextMs >= shape.lengthMs) return
        queue.after((nextMs.toLong() - sinceStartMs()).coerceAtLeast(0)) {
            ask(demand.kind)
            arrivals(demand, nextMs)
        }
    }

    /** One client: it asks, and asks again as it was told, or at once when it is an impatient one. */
    private fun ask(kind: RequestKind) {
        val sentMs = queue.nowMs
        val entry = vms.random(queue.random)
        val impatient = sinceStartMs() in shape.impatientSpan && queue.chance(shape.impatient)
        measures.onAsked(kind, sentMs - startMs)
        attempt(entry, kind, sentMs, if (impatient) IMPATIENT_RETRIES else 1, impatient)
    }

    private fun attempt(
        entry: ReplayVm,
        kind: RequestKind,
        sentMs: Long,
        retries: Int,
        impatient: Boolean,
    ) {
        send(entry, kind, false, sentMs + kind.deadlineMs) { result ->
            val leftMs = sentMs + kind.deadlineMs - queue.nowMs
            val pauseMs = if (impatient) 1L else result.retryAfterMs.toLong()
            when {
                result.ok -> measures.onServed(kind, sentMs - startMs, queue.nowMs - sentMs)
                result.refusal != null && retries > 0 && pauseMs <= leftMs / RETURN_PART ->
                    queue.after(pauseMs) { attempt(entry, kind, sentMs, retries - 1, impatient) }
                else -> measures.onLost(kind, result.refusal)
            }
        }
    }

    /** Sends a request from the daemon of [from]; [onDone] gets its result once, by its deadline. */
    private fun send(
        from: ReplayVm,
        kind: RequestKind,
        begun: Boolean,
        deadlineMs: Long,
        onDone: (ReplayResult) -> Unit,
    ) {
        var done = false
        val finish = { result: ReplayResult ->
            if (!done) {
                done = true
                onDone(result)
            }
        }
        queue.after((deadlineMs - queue.nowMs).coerceAtLeast(0)) { finish(ReplayResult(false, null, 0)) }
        place(from, kind, begun, deadlineMs, Placement(begun), { done }, finish)
    }

    private fun place(
        from: ReplayVm,
        kind: RequestKind,
        begun: Boolean,
        deadlineMs: Long,
        placement: Placement,
        isDone: () -> Boolean,
        finish: (ReplayResult) -> Unit,
    ) {
        val decision = from.router.choose(from.view.candidatesOf(kind.service), placement.tried, queue.nowMs)
        val target = (decision as? RouteDecision.To)?.let { byId.getValue(it.daemon) } ?: return finish(NOWHERE)
        placement.onTried(target.member.id)
        from.router.onSent(target.member.id)
        measures.onPlaced(decision.distance)
        val delayMs = delayMs(decision.distance)
        queue.after(delayMs) {
            guard(target, kind, begun, deadlineMs) { reply ->
                queue.after(delayMs) {
                    from.router.onReply(target.member.id, reply.inFlight, reply.limit, queue.nowMs)
                    val shed = reply.refusal == Refusal.SERVER_SHED
                    if (reply.refusal == null || shed) from.router.onOutcome(target.member.id, reply.ok, queue.nowMs)
                    val again = reply.refusal != null && !shed && !isDone() && placement.mayTryAnother(reply.refusal)
                    if (again) {
                        place(from, kind, begun, deadlineMs, placement, isDone, finish)
                    } else {
                        finish(ReplayResult(reply.ok, reply.refusal, reply.retryAfterMs))
                    }
                }
            }
        }
    }

    private fun guard(
        vm: ReplayVm,
        kind: RequestKind,
        begun: Boolean,
        deadlineMs: Long,
        onReply: (ReplayReply) -> Unit,
    ) {
        val nowMs = queue.nowMs
        val visit = ReplayVisit(kind, deadlineMs, onReply)
        if (vm.lost) return reply(vm, visit, false, Refusal.NO_SERVER)
        if (!vm.feedback.admits(!begun && kind.priority == 0, nowMs)) return refuseFull(vm, visit, begun)
        val arranged = vm.room.arrive(Arrival(kind.name, begun, kind.priority, deadlineMs, kind.objectiveMs), nowMs)
        arranged.displaced.forEach { displace(vm, it) }
        when (val admission = arranged.admission) {
            is Admission.Run -> start(vm, visit, admission.ticket)
            is Admission.Wait -> {
                visit.ticket = admission.ticket
                vm.visits[admission.ticket] = visit
            }
            is Admission.Refuse -> refuseFull(vm, visit, begun)
        }
    }

    private fun refuseFull(vm: ReplayVm, visit: ReplayVisit, begun: Boolean) {
        val free = vms.count { it.member.server == vm.member.server && !it.lost && it.room.runningCount < it.room.limit }
        measures.onTurnedAway(visit.kind, begun, free > 0)
        reply(vm, visit, false, Refusal.OVERLOADED)
    }

    private fun displace(vm: ReplayVm, ticket: Ticket) {
        vm.visits.remove(ticket)?.let { refuseFull(vm, it, ticket.arrival.nested) }
    }

    private fun start(vm: ReplayVm, visit: ReplayVisit, ticket: Ticket) {
        visit.ticket = ticket
        visit.startedMs = queue.nowMs
        vm.visits.remove(ticket)
        if (queue.chance(vm.shed)) return queue.after(1) { end(vm, visit, false, Refusal.SERVER_SHED) }
        val workMs = (visit.kind.workMs * spread() * vm.slow / vm.speed).toLong().coerceAtLeast(1)
        if (visit.kind.calls.isEmpty()) return queue.after(workMs) { end(vm, visit, true) }
        val startedMs = queue.nowMs
        callNext(vm, visit, 0) { ok ->
            val leftMs =
                if (!ok) {
                    0
                } else if (visit.kind.alongside) {
                    startedMs + workMs - queue.nowMs
                } else {
                    workMs
                }
            queue.after(leftMs.coerceAtLeast(0)) { end(vm, visit, ok) }
        }
    }

    private fun callNext(vm: ReplayVm, visit: ReplayVisit, index: Int, onDone: (Boolean) -> Unit) {
        val kind = visit.kind.calls.getOrNull(index) ?: return onDone(true)
        send(vm, kind, true, minOf(visit.deadlineMs, queue.nowMs + kind.deadlineMs)) { result ->
            vm.feedback.onCall(result.refusal == Refusal.OVERLOADED, queue.nowMs)
            if (!result.ok) measures.onCallFailed(kind, result.refusal)
            if (result.ok) callNext(vm, visit, index + 1, onDone) else onDone(false)
        }
    }

    private fun end(vm: ReplayVm, visit: ReplayVisit, ok: Boolean, refusal: Refusal? = null) {
        val inTime = queue.nowMs <= visit.deadlineMs
        val elapsedMs = (queue.nowMs - visit.startedMs).toDouble()
        val next = vm.room.finish(visit.ticket!!, elapsedMs.takeIf { ok && inTime })
        reply(vm, visit, ok && inTime, refusal)
        next.forEach { ticket -> vm.visits[ticket]?.let { start(vm, it, ticket) } }
    }

    private fun reply(vm: ReplayVm, visit: ReplayVisit, ok: Boolean, refusal: Refusal?) {
        if (visit.given) return
        visit.given = true
        val busy = vm.room.runningCount + vm.room.waitingCount
        visit.onReply(ReplayReply(ok, refusal, if (refusal == null) 0 else vm.room.retryAfterMs(), busy, vm.room.limit))
    }

    private fun sweep() {
        vms.forEach { vm -> vm.room.shedLate(queue.nowMs).forEach { displace(vm, it) } }
        queue.after(SWEEP_MS) { sweep() }
    }

    private fun spread() = exp(queue.random.nextGaussian() * SPREAD - SPREAD * SPREAD / 2)

    private fun Random.nextGaussian() = java.util.Random(nextLong()).nextGaussian()

    private fun delayMs(distance: Distance) =
        when (distance) {
            Distance.SAME_FAILURE_DOMAIN -> 0L
            Distance.SAME_REGION -> 1L
            Distance.OTHER_REGION -> 8L
        }

    private companion object {
        val NOWHERE = ReplayResult(false, Refusal.NO_SERVER, 0)
        val SPEEDS = listOf(0.6, 1.0, 1.4, 0.7, 1.6)
        const val REGIONS = 2
        const val SPREAD = 0.5
        const val SWEEP_MS = 50L
        const val DRAIN_MS = 12_000L

        /** Time until the daemons know of servers that are gone. */
        const val NEWS_MS = 400L
        const val MS_PER_SECOND = 1_000.0
        const val IMPATIENT_RETRIES = 3

        /** Clients come back only when the pause is at most this part of the time that they have left. */
        const val RETURN_PART = 3
    }
}
