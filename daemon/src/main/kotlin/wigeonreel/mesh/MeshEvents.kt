package wigeonreel.mesh

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import wigeonreel.backend.BackendReport
import wigeonreel.backend.ReportOutcome
import wigeonreel.daemon.Clock
import wigeonreel.http.HttpResponse
import wigeonreel.http.HttpResult
import wigeonreel.kernel.EventLog
import wigeonreel.outcome.Refusal
import wigeonreel.routing.RouteDecision
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Structured log lines and metrics of request processing, with one line for each decision. */
class MeshEvents(
    private val log: EventLog,
    private val registry: MeterRegistry,
    private val clock: Clock,
) {
    private val counters = HashMap<String, Counter>()
    private val thinned = Counter.builder("wigeon.log.thinned").description("lines of failures left out under load").register(registry)
    private var currentSecond = 0L
    private var linesLeft = LINES_PER_SECOND
    private val answerTime = Timer.builder("wigeon.answer.time").serviceLevelObjectives(*ANSWER_BUCKETS).register(registry)

    /** Logs the routing decision for a request; [tried] is the number of daemons tried before it. */
    fun placed(call: MeshCall, decision: RouteDecision, tried: Int) {
        val id = call.request.id
        if (decision is RouteDecision.To && !sampled(id) || !shouldLog(id)) return
        log.write("place", clock.nowMs()) {
            put("id", id)
            put("route", call.route.name)
            put("service", call.service)
            put("tried", tried.toLong())
            put("decision", decision.logLine)
        }
    }

    /** Logs and counts a guard's reply to a request, [heldMs] milliseconds after its arrival; [loss] tells how a response was lost. */
    fun guarded(request: ForwardRequest, reply: ForwardReply, heldMs: Long, loss: HttpResult.Lost?) {
        val served = reply.outcome == Outcome.ANSWERED && reply.status < SERVER_ERROR
        count("wigeon.guard", if (reply.outcome == Outcome.ANSWERED) "answered" else reply.refusal)
        if (served && !sampled(request.rootId) || !shouldLog(request.rootId)) return
        log.write("guard", clock.nowMs()) {
            put("id", request.rootId)
            put("attempt", request.attemptId)
            put("route", request.route)
            put("begun", request.depth > 0)
            put("priority", request.priority.toLong())
            put("outcome", if (reply.outcome == Outcome.ANSWERED) "status ${reply.status}" else reply.refusal)
            put("busy", reply.inFlight.toLong())
            put("limit", reply.limit.toLong())
            put("expectedWaitMs", reply.waitMs.toLong())
            put("leftMs", request.timeoutMs.toLong())
            put("heldMs", heldMs)
            put("lost", loss?.reason?.name?.lowercase())
            put("detail", loss?.detail)
        }
    }

    /** Logs, times and counts the final result of a request. */
    fun answered(call: MeshCall, result: MeshResult, nowMs: Long) {
        val tookMs = nowMs - call.arrivedAtMs
        answerTime.record(tookMs, TimeUnit.MILLISECONDS)
        val status = (result as? MeshResult.Answered)?.response?.status ?: 0
        count("wigeon.answers", outcomeOf(result))
        if (status in 1 until SERVER_ERROR && !sampled(call.request.id) || !shouldLog(call.request.id)) return
        log.write("answer", nowMs) {
            put("id", call.request.id)
            put("route", call.route.name)
            put("account", call.account?.name)
            put("outcome", outcomeOf(result))
            put("tookMs", tookMs)
            put("timeoutMs", call.deadlineMs - call.arrivedAtMs)
        }
    }

    /** Logs and counts a request that was refused at the entry point. */
    fun refused(request: CallerRequest?, refusal: Refusal, account: String? = null) {
        count("wigeon.entry.refusals", refusal.wireName)
        if (!shouldLog(request?.id.orEmpty())) return
        log.write("refuse", clock.nowMs()) {
            put("id", request?.id)
            put("host", request?.host)
            put("path", request?.http?.path)
            put("account", account)
            put("reason", refusal.wireName)
        }
    }

    /** Logs and counts a request whose caller disconnected before the response. */
    fun callerLeft(call: MeshCall, nowMs: Long) {
        count("wigeon.answers", "caller-left")
        if (!sampled(call.request.id)) return
        log.write("caller-left", nowMs) {
            put("id", call.request.id)
            put("afterMs", nowMs - call.arrivedAtMs)
        }
    }

    /** Logs what a report of the backend server changed, except for a routine update. */
    fun reported(report: BackendReport, outcome: ReportOutcome) {
        if (outcome == ReportOutcome.UPDATED) return
        log.write("backend", clock.nowMs()) {
            put("instance", report.instance)
            put("service", report.service)
            put("outcome", outcome.name.lowercase())
            put("state", report.state.name.lowercase())
            put("slots", report.slots.toLong())
            put("sequence", report.sequence ?: -1)
        }
    }

    /** Logs a change of the daemon's configuration, settings, backend server or lifecycle. */
    fun changed(event: String, detail: String) = log.write(event, clock.nowMs()) { put("detail", detail) }

    private fun outcomeOf(result: MeshResult) =
        when (result) {
            is MeshResult.Answered -> "status-${result.response.statusClass}xx"
            is MeshResult.Refused -> result.refusal.wireName
        }

    private val HttpResponse.statusClass get() = status / STATUS_CLASS

    private fun count(name: String, outcome: String) =
        counters
            .getOrPut("$name/$outcome") { Counter.builder(name).tag("outcome", outcome).register(registry) }
            .increment()

    /** Returns whether to log a failure: up to [LINES_PER_SECOND] in each second, and above that only sampled requests. */
    private fun shouldLog(id: String): Boolean {
        val second = clock.nowMs() / MS_PER_SECOND
        if (second != currentSecond) {
            currentSecond = second
            linesLeft = LINES_PER_SECOND
        }
        if (linesLeft > 0) {
            linesLeft--
            return true
        }
        return sampled(id).also { if (!it) thinned.increment() }
    }

    /** Returns whether the request is sampled; the result depends on the id alone, so every daemon logs the same requests. */
    private fun sampled(id: String) = id.hashCode() and SAMPLE_MASK == 0

    private companion object {
        /** Bucket bounds of the response time histogram; buckets cost far less CPU time and memory than quantiles. */
        val ANSWER_BUCKETS: Array<Duration> =
            listOf(2L, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000).map(Duration::ofMillis).toTypedArray()
        const val SERVER_ERROR = 500
        const val STATUS_CLASS = 100

        const val MS_PER_SECOND = 1_000L

        /** Log lines per second above which only sampled requests are logged; about a daemon's requests per second at low load. */
        const val LINES_PER_SECOND = 60

        /** Logs one in 64 of the successful requests. */
        const val SAMPLE_MASK = 63
    }
}
