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

    /** The former home found that no home ran the key and told a caller so; none may run it any more. */
    data object Spent : BlockAnswer<Nothing>

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
            val before: Blocked?,
        ) : State<Nothing>

        data object Running : State<Nothing>

        data class Done<O>(
            val outcome: O,
        ) : State<O>

        /** No home ran the key, and a caller was told so. */
        data object Spent : State<Nothing>

        /** Blocked for a home of the home set [version]. */
        data class Blocked(
            val version: Long,
        ) : State<Nothing>
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
            BlockAnswer.Spent -> spend(record)
            BlockAnswer.Running -> giveUp(attempt, Refusal.STILL_RUNNING)
            BlockAnswer.Unknown -> giveUp(attempt, Refusal.HOME_UNREACHABLE)
            is BlockAnswer.Done -> keep(record, answer.outcome)
        }
    }

    /**
     * Answers another home that asks this one to block a key; from then on this daemon never runs the key.
     *
     * @param askerVersion version of the home set by which the asking daemon is the home.
     */
    fun block(account: String, key: IdempotencyKey, askerVersion: Long): BlockAnswer<O> {
        val id = RecordId(account, key.text)
        return when (val state = records[id]?.state) {
            State.Running -> BlockAnswer.Running
            State.Spent -> BlockAnswer.Spent
            is State.Done -> BlockAnswer.Done(state.outcome)
            is State.Blocked, is State.Asking, null -> blockUnrun(id, key, askerVersion)
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

    /** Records and their loss decide first, so that a doubled message of an attempt that ran is never called not run. */
    private fun decide(attempt: Attempt<O>, nowMs: Long): OnceDecision<O> {
        val key = attempt.key
        val record = records[attempt.recordId]
        return when {
            record != null && record.state !is State.Blocked -> decideRecorded(record, attempt)
            record == null && mayBeLost(key) -> refuse(Refusal.RECORD_LOST)
            key.issuedAtMs > nowMs + policy.clockMarginMs -> refuse(Refusal.IDEMPOTENCY_KEY_FROM_FUTURE)
            key.issuedAtMs < nowMs - policy.windowMs -> refuse(Refusal.IDEMPOTENCY_KEY_TOO_OLD)
            attempt.expiresAtMs + policy.clockMarginMs <= nowMs -> refuse(Refusal.DEADLINE_PASSED)
            else -> decideUnrecorded(attempt, record, nowMs)
        }
    }

    private fun decideRecorded(record: Record<O>, attempt: Attempt<O>): OnceDecision<O> {
        if (record.fingerprint != attempt.fingerprint) return refuse(Refusal.IDEMPOTENCY_KEY_REUSED)
        return when (val state = record.state) {
            is State.Done -> OnceDecision.Kept(state.outcome)
            State.Running, is State.Asking -> refuse(Refusal.STILL_RUNNING)
            State.Spent -> refuse(Refusal.IDEMPOTENCY_KEY_SPENT)
            is State.Blocked -> refuse(Refusal.HOME_NOT_CURRENT)
        }
    }

    private fun decideUnrecorded(attempt: Attempt<O>, record: Record<O>?, nowMs: Long): OnceDecision<O> {
        val binding = attempt.key.binding
        if (binding != null) return decideMinted(attempt, binding)
        val set = homeSet
        return when {
            set == null || nowMs - provenAtMs >= policy.tenureMs -> refuse(Refusal.HOME_NOT_CURRENT)
            set.current.homeOf(attempt.key.text) != self -> refuse(Refusal.HOME_NOT_CURRENT)
            else -> askOrRun(attempt, set, record)
        }
    }

    private fun decideMinted(attempt: Attempt<O>, binding: HomeBinding): OnceDecision<O> =
        when {
            binding.home != self -> refuse(Refusal.HOME_NOT_CURRENT)
            else -> run(attempt)
        }

    /** A key blocked for a home of a later version may be running there, which only that version or a later one tells. */
    private fun askOrRun(attempt: Attempt<O>, set: HomeSet, record: Record<O>?): OnceDecision<O> {
        val blocked = record?.state as? State.Blocked
        if (blocked != null && blocked.version >= set.current.version) return refuse(Refusal.HOME_NOT_CURRENT)
        val others = set.formerHomes(attempt.key, policy) - self
        if (others.isEmpty()) return if (record == null) run(attempt) else spend(record)
        records[attempt.recordId] = Record(attempt.key, attempt.fingerprint, State.Asking(attempt.attemptId, others, blocked))
        return OnceDecision.Ask(others)
    }

    private fun afterBlocked(record: Record<O>, asking: State.Asking, from: String): OnceDecision<O>? {
        val waiting = asking.waiting - from
        if (waiting.isNotEmpty()) {
            record.state = asking.copy(waiting = waiting)
            return null
        }
        if (asking.before != null) return spend(record)
        record.state = State.Running
        return OnceDecision.Run
    }

    /** Later homes learn from this record that the key is spent. */
    private fun spend(record: Record<O>): OnceDecision<O> {
        record.state = State.Spent
        return refuse(Refusal.IDEMPOTENCY_KEY_SPENT)
    }

    private fun giveUp(attempt: Attempt<O>, refusal: Refusal): OnceDecision<O> {
        val before = (records[attempt.recordId]?.state as? State.Asking)?.before
        if (before != null) records.getValue(attempt.recordId).state = before else records.remove(attempt.recordId)
        return OnceDecision.Refuse(refusal).also { rememberRefused(attempt, it) }
    }

    private fun keep(record: Record<O>, outcome: O): OnceDecision<O> {
        record.state = State.Done(outcome)
        return OnceDecision.Kept(outcome)
    }

    private fun blockUnrun(id: RecordId, key: IdempotencyKey, askerVersion: Long): BlockAnswer<O> {
        val state = records[id]?.state
        if (state == null && (key.binding != null || lostWithRestart(key))) return BlockAnswer.Unknown
        val before = state as? State.Blocked ?: (state as? State.Asking)?.before
        val version = maxOf(askerVersion, before?.version ?: 0)
        records[id] = Record(key, fingerprint = 0, State.Blocked(version))
        return BlockAnswer.Blocked
    }

    private fun run(attempt: Attempt<O>): OnceDecision<O> {
        records[attempt.recordId] = Record(attempt.key, attempt.fingerprint, State.Running)
        return OnceDecision.Run
    }

    private fun lostWithRestart(key: IdempotencyKey) = key.issuedAtMs < startedAtMs + policy.clockMarginMs

    /** A minted key names the incarnation that may have run it; for others the issue time tells. */
    private fun mayBeLost(key: IdempotencyKey): Boolean {
        val binding = key.binding ?: return lostWithRestart(key)
        return binding.home == self && binding.incarnation != incarnation
    }

    private fun rememberRefused(attempt: Attempt<O>, decision: OnceDecision.Refuse) {
        if (decision.refusal.ran == Ran.NOT_RUN) {
            refusedAttempts[attempt.attemptId] = attempt.expiresAtMs + policy.clockMarginMs
        }
    }

    private fun refuse(refusal: Refusal): OnceDecision.Refuse = OnceDecision.Refuse(refusal)

    private val Attempt<O>.recordId get() = RecordId(account, key.text)
}
