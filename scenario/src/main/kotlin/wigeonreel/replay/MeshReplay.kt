package wigeonreel.replay

import wigeonreel.admission.Admission
import wigeonreel.admission.Arrival
import wigeonreel.admission.ServiceLoad
import wigeonreel.admission.ServiceUse
import wigeonreel.admission.Ticket
import wigeonreel.admission.plusUses
import wigeonreel.config.Configuration
import wigeonreel.membership.Member
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.outcome.Refusal
import wigeonreel.place.Distance
import wigeonreel.place.Place
import wigeonreel.routing.Placement
import wigeonreel.routing.RouteDecision
import wigeonreel.routing.ServerReport
import wigeonreel.soak.EventQueue
import wigeonreel.traffic.FleetView
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * Replays a load pattern against the request path in virtual time.
 *
 * Each daemon uses the production router, placement, admission queue and call feedback in front of a simulated server with
 * slots and a speed. Account limits and daemon failures are not simulated.
 */
internal class MeshReplay(
    private val shape: LoadShape,
    seed: Long,
    private val without: Mechanism? = null,
) {
    private val queue = EventQueue(seed)
    private val startMs = queue.nowMs
    private val vms = buildVms()
    private val byId = vms.associateBy { it.member.id }

    /** Measures of the replay. */
    val measures = ReplayMeasures(shape)

    /** Runs the load pattern to its end and returns the measures. */
    fun run(): ReplayMeasures {
        shape.demand.forEach { scheduleArrivals(it, 0.0) }
        queue.after(shape.faultSpan.fromMs) { setFaults(true) }
        queue.after(shape.faultSpan.toMs) { setFaults(false) }
        shedLateRequests()
        queue.run(shape.durationMs + DRAIN_MS)
        return measures
    }

    private fun buildVms(): List<ReplayVm> {
        val members =
            shape.services.flatMap { service ->
                service.serversPerDomain.flatMapIndexed { domain, count ->
                    List(count) {
                        val place = Place("r${domain % REGIONS}", "z$domain")
                        val id = "${service.name}-$domain-$it"
                        Member
                            .starting(id, 1, PeerAddress(id, 1), place)
                            .copy(server = ServerInfo(service.name, service.slots, ready = true))
                    }
                }
            }
        return members.mapIndexed { number, member -> ReplayVm(member, speedOf(member, members), number.toLong()) }.also { all ->
            all.forEach { it.view = FleetView(it.member, members, Configuration.EMPTY) }
        }
    }

    private fun speedOf(member: Member, members: List<Member>): Double {
        val service = member.server!!.service
        val speeds = shape.services.first { it.name == service }.speeds
        return speeds[members.filter { it.server!!.service == service }.indexOf(member) % speeds.size]
    }

    private fun setFaults(active: Boolean) {
        for (service in shape.faultyServices) {
            val servers = vms.filter { it.member.server!!.service == service }
            servers.take((servers.size * shape.lostShare).toInt()).forEach { it.isDown = active }
            servers.take((servers.size * shape.slowShare).toInt()).forEach { it.slowFactor = if (active) shape.slowFactor else 1.0 }
            servers.forEach { it.shedShare = if (active) shape.shedShare else 0.0 }
            servers.forEach { it.unansweredShare = if (active) shape.unansweredShare else 0.0 }
        }
        queue.after(VIEW_UPDATE_DELAY_MS) { refreshViews() }
    }

    private fun refreshViews() {
        val members = vms.map { it.member.copy(server = it.member.server!!.copy(ready = !it.isDown)) }
        vms.forEach { it.view = FleetView(it.member, members, Configuration.EMPTY) }
    }

    private fun sinceStartMs() = queue.nowMs - startMs

    /**
     * Schedules the arrivals of [demand].
     *
     * @param previousMs exact time of the previous arrival, in milliseconds since the start.
     */
    private fun scheduleArrivals(demand: Demand, previousMs: Double) {
        val factor = if (previousMs.toLong() in shape.surgeSpan) shape.surge else 1.0
        val nextMs = previousMs - ln(1.0 - queue.random.nextDouble()) * MS_PER_SECOND / (demand.requestsPerSecond * factor)
        if (nextMs >= shape.durationMs) return
        queue.after((nextMs.toLong() - sinceStartMs()).coerceAtLeast(0)) {
            startRequest(demand.kind)
            scheduleArrivals(demand, nextMs)
        }
    }

    /** Sends the request of one client, which retries either after the Retry-After time or immediately. */
    private fun startRequest(kind: RequestKind) {
        val sentMs = queue.nowMs
        val entry = vms.random(queue.random)
        val retriesImmediately = sinceStartMs() in shape.immediateRetrySpan && queue.chance(shape.immediateRetryShare)
        measures.onSent(kind, sentMs - startMs)
        attempt(entry, kind, sentMs, if (retriesImmediately) MAX_IMMEDIATE_RETRIES else 1, retriesImmediately)
    }

    private fun attempt(
        entry: ReplayVm,
        kind: RequestKind,
        sentMs: Long,
        retriesLeft: Int,
        retriesImmediately: Boolean,
    ) {
        val onResult = { result: ReplayResult ->
            entry.throttle.onLoads(result.loads, queue.nowMs)
            if (result.ok) entry.throttle.onServed(kind.name, result.uses)
            val remainingMs = sentMs + kind.timeoutMs - queue.nowMs
            val pauseMs = if (retriesImmediately) 1L else result.retryAfterMs.toLong()
            when {
                result.ok -> measures.onServed(kind, sentMs - startMs, queue.nowMs - sentMs)
                result.refusal != null && retriesLeft > 0 && pauseMs <= remainingMs / RETRY_PAUSE_DIVISOR ->
                    queue.after(pauseMs) { attempt(entry, kind, sentMs, retriesLeft - 1, retriesImmediately) }
                else -> measures.onNotServed(kind, result.refusal)
            }
        }
        if (without == Mechanism.ENTRY_THROTTLE || entry.throttle.admits(kind.name, kind.priority, queue.nowMs)) {
            send(
                entry,
                kind,
                false,
                minOf(sentMs + kind.timeoutMs, queue.nowMs + kind.attemptTimeoutMs),
                entry.throttle.representedRequests(kind.name),
                onResult,
            )
        } else {
            measures.onThrottled(kind)
            onResult(ReplayResult(false, Refusal.OVERLOADED, ENTRY_RETRY_AFTER_MS))
        }
    }

    /** Sends a request from the daemon of [from] and calls [onDone] exactly once, no later than at [deadlineMs]. */
    private fun send(
        from: ReplayVm,
        kind: RequestKind,
        nested: Boolean,
        deadlineMs: Long,
        representedRequests: Double,
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
        place(from, kind, nested, deadlineMs, representedRequests, Placement(nested), { done }, finish)
    }

    private fun place(
        from: ReplayVm,
        kind: RequestKind,
        nested: Boolean,
        deadlineMs: Long,
        representedRequests: Double,
        placement: Placement,
        isDone: () -> Boolean,
        finish: (ReplayResult) -> Unit,
    ) {
        val decision = from.router.choose(from.view.candidatesOf(kind.service), placement.tried, queue.nowMs, kind.name)
        val target = (decision as? RouteDecision.To)?.let { byId.getValue(it.daemon) } ?: return finish(NO_SERVER_RESULT)
        placement.onTried(target.member.id)
        from.router.onSent(target.member.id)
        measures.onPlaced(decision.distance)
        val delayMs = delayMs(decision.distance)
        queue.after(delayMs) {
            arriveAtGuard(target, kind, nested, deadlineMs, representedRequests) { reply ->
                queue.after(delayMs) {
                    from.router.onReply(target.member.id, reply.inFlight, reply.limit, queue.nowMs)
                    from.router.onReport(target.member.id, kind.name, known(reply.report))
                    val offeredLoad = from.router.offeredLoad(from.view.candidatesOf(kind.service), queue.nowMs)
                    val uses = reply.uses.plusUses(listOf(ServiceUse(kind.service, reply.slotMs)))
                    val loads = reply.loads + ServiceLoad(kind.service, offeredLoad)
                    val shed = reply.refusal == Refusal.SERVER_SHED
                    if (reply.refusal == null || shed) from.router.onOutcome(target.member.id, reply.ok, queue.nowMs)
                    val shouldRetry =
                        reply.refusal != null &&
                            !shed &&
                            !isDone() &&
                            placement.mayTryAnother(reply.refusal) &&
                            without != Mechanism.OTHER_GUARDS
                    if (shouldRetry) {
                        place(from, kind, nested, deadlineMs, 0.0, placement, isDone, finish)
                    } else {
                        finish(ReplayResult(reply.ok, reply.refusal, reply.retryAfterMs, uses, loads))
                    }
                }
            }
        }
    }

    /** Returns [report] as the mechanisms in use know it. */
    private fun known(report: ServerReport) =
        when (without) {
            Mechanism.SERVICE_TIMES -> report.copy(serviceMs = null)
            else -> report
        }

    private fun arriveAtGuard(
        vm: ReplayVm,
        kind: RequestKind,
        nested: Boolean,
        deadlineMs: Long,
        representedRequests: Double,
        onReply: (ReplayReply) -> Unit,
    ) {
        val nowMs = queue.nowMs
        val request = ReplayRequest(kind, deadlineMs, representedRequests, onReply)
        if (vm.isDown) return reply(vm, request, false, Refusal.NO_SERVER)
        if (without != Mechanism.CALL_FEEDBACK &&
            !vm.feedback.admits(!nested && kind.priority == 0, nowMs)
        ) {
            return refuseOverloaded(vm, request, nested)
        }
        val arrival = Arrival(kind.name, nested, kind.priority, deadlineMs, kind.objectiveMs, representedRequests)
        val result = vm.admissionQueue.arrive(arrival, nowMs)
        result.displaced.forEach { displace(vm, it) }
        when (val admission = result.admission) {
            is Admission.Run -> start(vm, request, admission.ticket)
            is Admission.Wait -> {
                request.ticket = admission.ticket
                vm.waitingRequests[admission.ticket] = request
            }
            is Admission.Refuse -> refuseOverloaded(vm, request, nested)
        }
    }

    private fun refuseOverloaded(vm: ReplayVm, request: ReplayRequest, nested: Boolean) {
        val freeServers =
            vms.count { it.member.server == vm.member.server && !it.isDown && it.admissionQueue.runningCount < it.admissionQueue.limit }
        measures.onRejected(request.kind, nested, freeServers > 0)
        reply(vm, request, false, Refusal.OVERLOADED)
    }

    private fun displace(vm: ReplayVm, ticket: Ticket) {
        vm.waitingRequests.remove(ticket)?.let { refuseOverloaded(vm, it, ticket.arrival.nested) }
    }

    private fun start(vm: ReplayVm, request: ReplayRequest, ticket: Ticket) {
        request.ticket = ticket
        request.startedMs = queue.nowMs
        vm.waitingRequests.remove(ticket)
        if (queue.chance(vm.shedShare)) return queue.after(1) { end(vm, request, false, Refusal.SERVER_SHED) }
        val answers = !queue.chance(vm.unansweredShare)
        val workMs = (request.kind.workMs * workTimeFactor() * vm.slowFactor / vm.speed).toLong().coerceAtLeast(1)
        val startedMs = queue.nowMs
        vm.attribution.onStarted(request, request.deadlineMs, request.representedRequests, false, startedMs)
        makeCalls(vm, request) { ok ->
            val remainingWorkMs =
                when {
                    !answers -> request.deadlineMs - queue.nowMs
                    !ok -> 0
                    request.kind.callsOverlapWork -> startedMs + workMs - queue.nowMs
                    else -> workMs
                }
            queue.after(
                remainingWorkMs.coerceIn(0, (request.deadlineMs - queue.nowMs).coerceAtLeast(0)),
            ) { end(vm, request, ok && answers) }
        }
    }

    /** Makes the nested calls of [request] and calls [onDone] exactly once, with whether all of them succeeded. */
    private fun makeCalls(vm: ReplayVm, request: ReplayRequest, onDone: (Boolean) -> Unit) {
        val calls = request.kind.calls
        if (!request.kind.callsOverlapWork) return callInTurn(vm, request, 0, onDone)
        var pending = calls.size
        var hasFailed = false
        for (kind in calls) {
            call(vm, request, kind) { ok ->
                pending--
                if (!hasFailed && (!ok || pending == 0)) onDone(ok)
                if (!ok) hasFailed = true
            }
        }
    }

    private fun callInTurn(vm: ReplayVm, request: ReplayRequest, index: Int, onDone: (Boolean) -> Unit) {
        val kind = request.kind.calls.getOrNull(index) ?: return onDone(true)
        call(vm, request, kind) { ok -> if (ok) callInTurn(vm, request, index + 1, onDone) else onDone(false) }
    }

    private fun call(vm: ReplayVm, request: ReplayRequest, kind: RequestKind, onDone: (Boolean) -> Unit) {
        val deadlineMs = minOf(request.deadlineMs, queue.nowMs + kind.timeoutMs)
        val caller = vm.attribution.callerOf(deadlineMs)
        send(vm, kind, true, deadlineMs, caller?.representedRequests ?: 1.0) { result ->
            if (caller != null) vm.attribution.onCallFinished(caller, result.uses, queue.nowMs)
            result.loads.forEach { vm.downstreamLoads.learn(it, queue.nowMs) }
            vm.feedback.onCall(result.refusal == Refusal.OVERLOADED, queue.nowMs)
            if (!result.ok) measures.onCallFailed(kind, result.refusal)
            onDone(result.ok)
        }
    }

    private fun end(vm: ReplayVm, request: ReplayRequest, ok: Boolean, refusal: Refusal? = null) {
        val inTime = queue.nowMs <= request.deadlineMs
        val elapsedMs = (queue.nowMs - request.startedMs).toDouble()
        val next = vm.admissionQueue.finish(request.ticket!!, elapsedMs.takeIf { ok || queue.nowMs >= request.deadlineMs }, queue.nowMs)
        val uses = vm.attribution.onEnded(request)
        reply(vm, request, ok && inTime, refusal, uses, elapsedMs)
        next.forEach { ticket -> vm.waitingRequests[ticket]?.let { start(vm, it, ticket) } }
    }

    private fun reply(
        vm: ReplayVm,
        request: ReplayRequest,
        ok: Boolean,
        refusal: Refusal?,
        uses: List<ServiceUse> = emptyList(),
        slotMs: Double = 0.0,
    ) {
        if (request.hasReply) return
        request.hasReply = true
        val queue = vm.admissionQueue
        val retryAfterMs = if (refusal == null) 0 else queue.retryAfterMs()
        val inFlight = queue.runningCount + queue.waitingCount
        request.onReply(
            ReplayReply(
                ok,
                refusal,
                retryAfterMs,
                inFlight,
                queue.limit,
                ServerReport(queue.serviceMs(request.kind.name), queue.offeredLoad),
                slotMs,
                uses,
                vm.downstreamLoads.current(this.queue.nowMs),
            ),
        )
    }

    private fun shedLateRequests() {
        vms.forEach { vm -> vm.admissionQueue.shedLate(queue.nowMs).forEach { displace(vm, it) } }
        queue.after(SHED_INTERVAL_MS) { shedLateRequests() }
    }

    private fun workTimeFactor() = exp(queue.random.nextGaussian() * WORK_TIME_SIGMA - WORK_TIME_SIGMA * WORK_TIME_SIGMA / 2)

    private fun Random.nextGaussian() = java.util.Random(nextLong()).nextGaussian()

    private fun delayMs(distance: Distance) =
        when (distance) {
            Distance.SAME_FAILURE_DOMAIN -> 0L
            Distance.SAME_REGION -> 1L
            Distance.OTHER_REGION -> 8L
        }

    private companion object {
        val NO_SERVER_RESULT = ReplayResult(false, Refusal.NO_SERVER, 0)
        const val REGIONS = 2

        /** Standard deviation of the logarithm of the work time factor, which is log-normal with mean 1. */
        const val WORK_TIME_SIGMA = 0.5
        const val SHED_INTERVAL_MS = 50L
        const val DRAIN_MS = 12_000L

        /** Delay until the views of the daemons reflect servers that went down or came back. */
        const val VIEW_UPDATE_DELAY_MS = 400L
        const val MS_PER_SECOND = 1_000.0
        const val ENTRY_RETRY_AFTER_MS = 800
        const val MAX_IMMEDIATE_RETRIES = 3

        /** Clients retry only when the pause is at most 1 / RETRY_PAUSE_DIVISOR of the time left until their deadline. */
        const val RETRY_PAUSE_DIVISOR = 3
    }
}
