package wigeonreel.once

import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal

/** Client account and key under which an execution is recorded. */
data class RecordId(
    val account: String,
    val key: String,
)

/** One attempt at a non-idempotent request, as it reaches its home. */
data class Attempt<O>(
    val attemptId: String,
    val account: String,
    val key: IdempotencyKey,
    val fingerprint: Int,
    val expiresAtMs: Long,
)

/** What a home does with an attempt. */
sealed interface OnceDecision<out O> {
    /** Run it on the local backend server, once. */
    data object Run : OnceDecision<Nothing>

    /** Ask [homes] to block the key; the decision follows from their answers. */
    data class Ask(
        val homes: Set<String>,
    ) : OnceDecision<Nothing>

    /** Answer with the outcome of the one execution. */
    data class Kept<O>(
        val outcome: O,
    ) : OnceDecision<O>

    /** Refuse. */
    data class Refuse(
        val refusal: Refusal,
    ) : OnceDecision<Nothing>
}

/** What a former home answers when it is asked to block a key. */
sealed interface BlockAnswer<out O> {
    /** The former home has not run the key and never will. */
    data object Blocked : BlockAnswer<Nothing>

    /** The former home is running the key. */
    data object Running : BlockAnswer<Nothing>

    /** The former home ran the key. */
    data class Done<O>(
        val outcome: O,
    ) : BlockAnswer<O>

    /** The former home can't tell, or could not be reached. */
    data object Unknown : BlockAnswer<Nothing>
}

/**
 * Execution records of one daemon for its service: at most one execution for each account and key.
 *
 * The outcome type [O] is opaque here. Records live in memory only, so a restarted daemon answers
 * "unknown" for keys that its former incarnation can have run.
 *
 * @param self id of this daemon, as home sets name it.
 * @param incarnation incarnation of this daemon, as minted keys name it.
 */
class ExecutionRecords<O>(
    private val self: String,
    private val incarnation: Long,
    private val startedAtMs: Long,
    private val policy: OncePolicy,
) {
    private sealed interface State<out O> {
        data class Asking(
            val attemptId: String,
            val waiting: Set<String>,
            val allBlocked: Boolean,
        ) : State<Nothing>

        data object Running : State<Nothing>

        data class Done<O>(
            val outcome: O,
        ) : State<O>

        data object Blocked : State<Nothing>
    }

    private class Record<O>(
        val key: IdempotencyKey,
        val fingerprint: Int,
        var state: State<O>,
    )

    private val records = HashMap<RecordId, Record<O>>()
    private val refusedAttempts = HashMap<String, Long>()
    private var homeSet: HomeSet? = null
    private var provenAtMs = Long.MIN_VALUE

    /** Number of records held. */
    val size: Int get() = records.size

    /** Version of the home set in use, or 0 before the first. */
    val homeSetVersion: Long get() = homeSet?.current?.version ?: 0

    /** Home set in use, or null before the first. */
    val currentHomeSet: HomeSet? get() = homeSet

    /** Takes a home set that was current at [provenAtMs]; an older version is ignored. */
    fun offer(set: HomeSet, provenAtMs: Long) {
        if (set.current.version < homeSetVersion) return
        homeSet = set
        this.provenAtMs = maxOf(this.provenAtMs, provenAtMs)
    }

    /** Decides an attempt. */
    fun begin(attempt: Attempt<O>, nowMs: Long): OnceDecision<O> {
        if (attempt.attemptId in refusedAttempts) return OnceDecision.Refuse(Refusal.HOME_NOT_CURRENT)
        return decide(attempt, nowMs).also { if (it is OnceDecision.Refuse) rememberRefused(attempt, it) }
    }

    /**
     * Takes the answer of the former home [from] for the attempt that asked.
     *
     * Returns null while further answers are awaited or when the attempt is no longer the one that asks.
     */
    fun onBlockAnswer(attempt: Attempt<O>, from: String, answer: BlockAnswer<O>): OnceDecision<O>? {
        val record = records[attempt.recordId] ?: return null
        val asking = record.state as? State.Asking ?: return null
        if (asking.attemptId != attempt.attemptId || from !in asking.waiting) return null
        return when (answer) {
            BlockAnswer.Blocked -> afterBlocked(record, asking, from)
            BlockAnswer.Running -> giveUp(attempt, Refusal.STILL_RUNNING)
            BlockAnswer.Unknown -> giveUp(attempt, Refusal.HOME_UNREACHABLE)
            is BlockAnswer.Done -> keep(record, answer.outcome)
        }
    }

    /** Answers another home that asks this one to block a key; from then on this daemon never runs the key. */
    fun block(account: String, key: IdempotencyKey): BlockAnswer<O> {
        val id = RecordId(account, key.text)
        return when (val state = records[id]?.state) {
            State.Running -> BlockAnswer.Running
            is State.Done -> BlockAnswer.Done(state.outcome)
            State.Blocked -> BlockAnswer.Blocked
            is State.Asking, null -> blockUnrun(id, key)
        }
    }

    /** Records the outcome of an execution that [begin] or [onBlockAnswer] allowed. */
    fun finish(attempt: Attempt<O>, outcome: O) {
        val record = records[attempt.recordId] ?: return
        if (record.state == State.Running) record.state = State.Done(outcome)
    }

    /** Undoes the permission to run, when the request certainly did not reach the backend server. */
    fun abandon(attempt: Attempt<O>) {
        val record = records[attempt.recordId] ?: return
        if (record.state == State.Running) records.remove(attempt.recordId)
        refusedAttempts[attempt.attemptId] = attempt.expiresAtMs + policy.clockMarginMs
    }

    /** Forgets records whose keys are past the window, and attempts that can no longer arrive. */
    fun evict(nowMs: Long) {
        records.values.removeIf { it.key.issuedAtMs + policy.windowMs + policy.clockMarginMs < nowMs && it.state !is State.Running }
        refusedAttempts.values.removeIf { it < nowMs }
    }

    private fun decide(attempt: Attempt<O>, nowMs: Long): OnceDecision<O> {
        val key = attempt.key
        val record = records[attempt.recordId]
        return when {
            attempt.expiresAtMs + policy.clockMarginMs <= nowMs -> refuse(Refusal.DEADLINE_PASSED)
            key.issuedAtMs > nowMs + policy.clockMarginMs -> refuse(Refusal.IDEMPOTENCY_KEY_FROM_FUTURE)
            key.issuedAtMs < nowMs - policy.windowMs -> refuse(Refusal.IDEMPOTENCY_KEY_TOO_OLD)
            record == null || record.state == State.Blocked -> decideUnrecorded(attempt, record, nowMs)
            record.fingerprint != attempt.fingerprint -> refuse(Refusal.IDEMPOTENCY_KEY_REUSED)
            else -> decideRecorded(record.state)
        }
    }

    private fun decideRecorded(state: State<O>): OnceDecision<O> =
        when (state) {
            is State.Done -> OnceDecision.Kept(state.outcome)
            State.Running, is State.Asking -> refuse(Refusal.STILL_RUNNING)
            State.Blocked -> refuse(Refusal.HOME_NOT_CURRENT)
        }

    private fun decideUnrecorded(attempt: Attempt<O>, record: Record<O>?, nowMs: Long): OnceDecision<O> {
        val binding = attempt.key.binding
        if (binding != null) return decideMinted(attempt, binding, record)
        val set = homeSet
        return when {
            set == null || nowMs - provenAtMs >= policy.tenureMs -> refuse(Refusal.HOME_NOT_CURRENT)
            set.current.homeOf(attempt.key.text) != self -> refuse(Refusal.HOME_NOT_CURRENT)
            record == null && lostWithRestart(attempt.key) -> refuse(Refusal.RECORD_LOST)
            else -> askOrRun(attempt, set, record)
        }
    }

    private fun decideMinted(attempt: Attempt<O>, binding: HomeBinding, record: Record<O>?): OnceDecision<O> =
        when {
            binding.home != self -> refuse(Refusal.HOME_NOT_CURRENT)
            binding.incarnation != incarnation -> refuse(Refusal.RECORD_LOST)
            record != null -> refuse(Refusal.IDEMPOTENCY_KEY_SPENT)
            else -> run(attempt)
        }

    private fun askOrRun(attempt: Attempt<O>, set: HomeSet, record: Record<O>?): OnceDecision<O> {
        val others = set.formerHomes(attempt.key, policy) - self
        if (others.isEmpty()) return if (record == null) run(attempt) else refuse(Refusal.IDEMPOTENCY_KEY_SPENT)
        val asking = State.Asking(attempt.attemptId, others, allBlocked = record != null)
        records[attempt.recordId] = Record(attempt.key, attempt.fingerprint, asking)
        return OnceDecision.Ask(others)
    }

    private fun afterBlocked(record: Record<O>, asking: State.Asking, from: String): OnceDecision<O>? {
        val waiting = asking.waiting - from
        if (waiting.isNotEmpty()) {
            record.state = asking.copy(waiting = waiting)
            return null
        }
        record.state = if (asking.allBlocked) State.Blocked else State.Running
        return if (asking.allBlocked) refuse(Refusal.IDEMPOTENCY_KEY_SPENT) else OnceDecision.Run
    }

    private fun giveUp(attempt: Attempt<O>, refusal: Refusal): OnceDecision<O> {
        val wasBlocked = (records[attempt.recordId]?.state as? State.Asking)?.allBlocked == true
        if (wasBlocked) records.getValue(attempt.recordId).state = State.Blocked else records.remove(attempt.recordId)
        return OnceDecision.Refuse(refusal).also { rememberRefused(attempt, it) }
    }

    private fun keep(record: Record<O>, outcome: O): OnceDecision<O> {
        record.state = State.Done(outcome)
        return OnceDecision.Kept(outcome)
    }

    private fun blockUnrun(id: RecordId, key: IdempotencyKey): BlockAnswer<O> {
        val known = id in records
        if (!known && (key.binding != null || lostWithRestart(key))) return BlockAnswer.Unknown
        records[id] = Record(key, fingerprint = 0, State.Blocked)
        return BlockAnswer.Blocked
    }

    private fun run(attempt: Attempt<O>): OnceDecision<O> {
        records[attempt.recordId] = Record(attempt.key, attempt.fingerprint, State.Running)
        return OnceDecision.Run
    }

    private fun lostWithRestart(key: IdempotencyKey) = key.issuedAtMs < startedAtMs + policy.clockMarginMs

    private fun rememberRefused(attempt: Attempt<O>, decision: OnceDecision.Refuse) {
        if (decision.refusal.ran == Ran.NOT_RUN) {
            refusedAttempts[attempt.attemptId] = attempt.expiresAtMs + policy.clockMarginMs
        }
    }

    private fun refuse(refusal: Refusal): OnceDecision.Refuse = OnceDecision.Refuse(refusal)

    private val Attempt<O>.recordId get() = RecordId(account, key.text)
}
