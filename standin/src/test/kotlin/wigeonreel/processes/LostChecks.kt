package wigeonreel.processes

/** Bounds of the platform for the checks, in milliseconds. */
data class Bounds(
    val stableWindowMs: Long = 3_000,
    val graceMs: Long = 6_000,
    val lossSlackMs: Long = 200,
    val configApplyMs: Long = 2_000,
)

/** A broken promise, with the attempt that shows it. */
data class Violation(
    val check: String,
    val detail: String,
)

/** Checks the records of a run against the promise that no accepted request is lost, one function for each part of it. */
class LostChecks(
    private val records: Records,
    private val bounds: Bounds = Bounds(),
) {
    private val disruptions = records.disruptions.toList()

    /** Returns all violations. */
    fun all(): List<Violation> =
        lostByKeptConnections() + lostAfterTerm() + lostAfterHup() + lostDuringChanges() + replacedAfterTerm() + silent()

    /** At any time, at most [MAX_LOST_BY_KEPT_CONNECTIONS] requests of reused connections that a sound server received may be lost. */
    fun lostByKeptConnections(): List<Violation> {
        val lost =
            records.attempts.filter { attempt ->
                attempt.reused &&
                    attempt.unanswered &&
                    soundRuns(attempt).isNotEmpty() &&
                    !reachedDeadline(attempt) &&
                    !disrupted(attempt.vm, attempt, unplannedOnly = false)
            }
        return if (lost.size <= MAX_LOST_BY_KEPT_CONNECTIONS) emptyList() else lost.map { violation("lost-by-kept-connection", it) }
    }

    /** A stopping daemon answers each request that it has read, except one whose server needs the last sixth of the grace period. */
    fun lostAfterTerm(): List<Violation> =
        disruptionsOf(DisruptionKind.TERM).flatMap { term ->
            records.attempts
                .filter {
                    it.vm == term.vm &&
                        it.unanswered &&
                        it.endedAtMs >= term.startMs &&
                        it.sentAtMs <= term.startMs + bounds.graceMs + MS_PER_SECOND
                }.filter { wasTaken(it) && !reachedDeadline(it) && !unplanned(it) && !needsLastSixth(it, term) }
                .map { violation("lost-after-term", it, term) }
        }

    /** A reload of the settings cuts no request. */
    fun lostAfterHup(): List<Violation> =
        disruptionsOf(DisruptionKind.HUP).flatMap { hup ->
            records.attempts
                .filter {
                    it.vm == hup.vm &&
                        it.unanswered &&
                        it.sentAtMs <= hup.startMs + bounds.configApplyMs &&
                        it.endedAtMs >= hup.startMs
                }.filter { wasTaken(it) && !reachedDeadline(it) && !unplanned(it) && !terminated(it) }
                .map { violation("lost-after-hup", it, hup) }
        }

    /** While the configuration changes, a daemon cuts at most three times as many requests as at other times. */
    fun lostDuringChanges(): List<Violation> {
        val windows = disruptionsOf(DisruptionKind.CONFIG).map { it.startMs..it.endMs + bounds.configApplyMs + MS_PER_SECOND }
        val (during, otherwise) =
            records.attempts.filter { !terminated(it) && !unplanned(it) }.partition { a ->
                windows.any {
                    a.endedAtMs in
                        it
                }
            }
        return during.groupBy { it.vm }.flatMap { (vm, attempts) ->
            val cut = attempts.filter { it.unanswered && wasTaken(it) && !usedMostOfItsTime(it) }
            val others = otherwise.filter { it.vm == vm }
            val othersCut = others.count { it.unanswered && wasTaken(it) }
            val allowed = MAX_CUT_RATIO * othersCut * attempts.size / others.size.coerceAtLeast(1)
            if (cut.size > allowed) cut.map { violation("lost-during-change", it) } else emptyList()
        }
    }

    /**
     * A stopping daemon doesn't replace the response of a server that is at work by one of its own.
     *
     * Unplanned trouble of any VM excuses it: an attempt there, which no server saw, may have been the last one.
     */
    fun replacedAfterTerm(): List<Violation> =
        disruptionsOf(DisruptionKind.TERM).flatMap { term ->
            records.attempts
                .filter { it.end == AttemptEnd.ANSWERED && !it.signed && it.status >= SERVER_ERROR }
                .filter { it.endedAtMs in term.startMs..term.startMs + bounds.graceMs + MS_PER_SECOND }
                .filter { attempt -> attempt.vm == term.vm || soundRuns(attempt).any { it.vm == term.vm } }
                .filter { soundRuns(it).isNotEmpty() && !reachedDeadline(it) && !unplanned(it) && !endedByGracePeriod(it) }
                .filterNot { attempt -> overlaps(attempt) { it.vm != null && !it.kind.planned } }
                .map { violation("replaced-after-term", it, term) }
        }

    /** Whether the grace period of the VM that took the request, or of one that ran it, explains its end. */
    private fun endedByGracePeriod(attempt: Attempt): Boolean {
        val vms = records.runsOf(attempt.id).mapTo(hashSetOf(attempt.vm)) { it.vm }
        return disruptionsOf(DisruptionKind.TERM).any { it.vm in vms && needsLastSixth(attempt, it) }
    }

    /** Of the requests that reach their time-out, at most half have no answer half a second later, whatever servers and peers do. */
    fun silent(): List<Violation> {
        val late =
            records.attempts.filter {
                it.end != AttemptEnd.NOT_SENT &&
                    reachedDeadline(it) &&
                    !disrupted(it.vm, it, unplannedOnly = true)
            }
        val silent = late.filter { it.end == AttemptEnd.SILENT }
        return if (silent.size > late.size * MAX_SILENT_SHARE) silent.map { violation("no-answer", it) } else emptyList()
    }

    private fun disruptionsOf(kind: DisruptionKind) = disruptions.filter { it.kind == kind }

    /** Whether the daemon passed the request on, or kept its connection long enough to have read it. */
    private fun wasTaken(attempt: Attempt) =
        records.runsOf(attempt.id).none { it.spoiled } &&
            (records.runsOf(attempt.id).isNotEmpty() || attempt.endedAtMs - attempt.sentAtMs > bounds.lossSlackMs)

    private fun soundRuns(attempt: Attempt) = records.runsOf(attempt.id).takeIf { runs -> runs.none { it.spoiled } }.orEmpty()

    private fun reachedDeadline(attempt: Attempt) =
        attempt.endedAtMs >= minOf(attempt.deadlineMs, attempt.sentAtMs + attempt.route.timeoutMs) - DEADLINE_TOLERANCE_MS

    private fun usedMostOfItsTime(attempt: Attempt) =
        attempt.endedAtMs - attempt.sentAtMs > LATE_SHARE * minOf(attempt.deadlineMs - attempt.sentAtMs, attempt.route.timeoutMs)

    private fun needsLastSixth(attempt: Attempt, term: Disruption): Boolean {
        val atWork = records.runsOf(attempt.id).any { run -> run.endedAtMs.let { it == null || it > attempt.endedAtMs - TRANSIT_MS } }
        val lastSixthMs = term.startMs + bounds.graceMs * 5 / 6
        return atWork && attempt.endedAtMs >= lastSixthMs && attempt.sentAtMs <= term.startMs + LATE_REQUEST_MS
    }

    /** Whether unplanned trouble struck a VM that handled the request; the store's trouble excuses only requests with a key. */
    private fun unplanned(attempt: Attempt): Boolean {
        val vms = records.runsOf(attempt.id).mapTo(hashSetOf(attempt.vm)) { it.vm }
        return vms.any { disrupted(it, attempt, unplannedOnly = true) } ||
            !attempt.route.open &&
            overlaps(attempt) { it.kind == DisruptionKind.STORE }
    }

    private fun terminated(attempt: Attempt) =
        overlaps(attempt) { disruption -> disruption.kind == DisruptionKind.TERM && disruption.vm == attempt.vm }

    private fun disrupted(vm: String, attempt: Attempt, unplannedOnly: Boolean) =
        overlaps(attempt) { it.vm == vm && !(unplannedOnly && it.kind.planned) }

    private fun overlaps(attempt: Attempt, matches: (Disruption) -> Boolean) =
        disruptions.any { matches(it) && it.startMs <= attempt.endedAtMs && it.endMs + bounds.stableWindowMs >= attempt.sentAtMs }

    private fun violation(check: String, attempt: Attempt, cause: Disruption? = null): Violation {
        val runs = records.runsOf(attempt.id).joinToString { "${it.vm} from ${it.startedAtMs} to ${it.endedAtMs}" }
        val since =
            cause?.let {
                " ${it.kind} at ${it.startMs} (sent ${attempt.sentAtMs - it.startMs} ms and ended ${attempt.endedAtMs - it.startMs} ms after it)"
            }
        return Violation(check, "$attempt runs=[$runs]${since.orEmpty()}")
    }

    private companion object {
        const val MAX_LOST_BY_KEPT_CONNECTIONS = 3
        const val MAX_CUT_RATIO = 3.0
        const val MAX_SILENT_SHARE = 0.5
        const val MS_PER_SECOND = 1_000L
        const val SERVER_ERROR = 500

        /** A request that is sent later than this after SIGTERM must be answered or refused in time. */
        const val LATE_REQUEST_MS = 3_000L
        const val LATE_SHARE = 0.7

        /** Time for a response on its way from a server to the caller, which two daemons pass on. */
        const val TRANSIT_MS = 20L

        /** Clients and daemons measure a request's time from different moments. */
        const val DEADLINE_TOLERANCE_MS = 20L
    }
}

/** Checks of the other promises that a client or a server can see broken by a single request. */
class RequestChecks(
    private val records: Records,
) {
    /** Returns all violations. */
    fun all(): List<Violation> = records.attempts.flatMap { check(it, records.runsOf(it.id)) }

    private fun check(attempt: Attempt, runs: List<Run>): List<Violation> =
        buildList {
            if (!attempt.route.idempotent && runs.size > 1) add(violation("run-twice", attempt, runs))
            val refused = attempt.end == AttemptEnd.ANSWERED && !attempt.signed && attempt.status in NOT_RUN_STATUSES
            if (!attempt.route.idempotent && refused && runs.isNotEmpty()) add(violation("refused-but-run", attempt, runs))
            if (attempt.foreign) add(violation("foreign-response", attempt, runs))
            if (runs.any { it.keySeen }) add(violation("key-reached-server", attempt, runs))
        }

    private fun violation(check: String, attempt: Attempt, runs: List<Run>) =
        Violation(check, "$attempt runs=[${runs.joinToString { "${it.vm} from ${it.startedAtMs} to ${it.endedAtMs}" }}]")

    private companion object {
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
