package wigeonreel.once

import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal

/** Key of an execution record: client account and idempotency key. */
data class RecordId(
    val account: String,
    val key: String,
)

/** One attempt at a non-idempotent request, as received by the home of its idempotency key. */
data class Attempt<O>(
    val attemptId: String,
    val account: String,
    val key: IdempotencyKey,
    val fingerprint: Int,
    val expiresAtMs: Long,
)

/** Decision of a home on an attempt. */
sealed interface OnceDecision<out O> {
    /** Run the request on the local backend server, once. */
    data object Run : OnceDecision<Nothing>

    /** Ask the former homes [homes] to block the key; the decision depends on their answers. */
    data class Ask(
        val homes: Set<String>,
    ) : OnceDecision<Nothing>

    /** Answer with the recorded outcome of the only execution. */
    data class Kept<O>(
        val outcome: O,
    ) : OnceDecision<O>

    /** Answer with [refusal]. */
    data class Refuse(
        val refusal: Refusal,
    ) : OnceDecision<Nothing>
}

/** Answer of a former home to the request to block a key. */
sealed interface BlockAnswer<out O> {
    /** The former home has not run the key and will not run it. */
    data object Blocked : BlockAnswer<Nothing>

    /** The former home answered a caller that no home has run the key, so no home may run it afterwards. */
    data object Spent : BlockAnswer<Nothing>

    /** The former home is running the key. */
    data object Running : BlockAnswer<Nothing>

    /** The former home ran the key. */
    data class Done<O>(
        val outcome: O,
    ) : BlockAnswer<O>

    /** The former home can't determine whether it ran the key, or could not be reached. */
    data object Unknown : BlockAnswer<Nothing>
}

/**
 * Execution records of one daemon for its service, which allow at most one execution for each account and key.
 *
 * The outcome type [O] is opaque to this class. Records are kept in memory only, so a restarted daemon answers
 * "unknown" for keys that its previous incarnation may have run.
 *
 * @param self id of this daemon in home sets.
 * @param incarnation incarnation of this daemon in minted keys.
 */
class ExecutionRecords<O>(
    private val self: String,
    private val incarnation: Long,
    private val startedAtMs: Long,
    private val policy: OncePolicy,
) {
    private sealed interface State<out O> {
        data class AwaitingBlocks(
            val attemptId: String,
            val pendingHomes: Set<String>,
            val previous: Blocked?,
        ) : State<Nothing>

        data object Running : State<Nothing>

        data class Done<O>(
            val outcome: O,
        ) : State<O>

        /** No home has run the key, and a caller has received this answer. */
        data object Spent : State<Nothing>

        /** Blocked on request of the home in the home set [version]. */
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

    /** Number of records in memory. */
    val size: Int get() = records.size

    /** Version of the home set in use, or 0 if none was received. */
    val homeSetVersion: Long get() = homeSet?.current?.version ?: 0

    /** Home set in use, or null if none was received. */
    val currentHomeSet: HomeSet? get() = homeSet

    /** Switches to the home set [set], which was current at [provenAtMs]; ignores an older version. */
    fun updateHomeSet(set: HomeSet, provenAtMs: Long) {
        if (set.current.version < homeSetVersion) return
        homeSet = set
        this.provenAtMs = maxOf(this.provenAtMs, provenAtMs)
    }

    /** Decides whether [attempt] may run. */
    fun begin(attempt: Attempt<O>, nowMs: Long): OnceDecision<O> {
        if (attempt.attemptId in refusedAttempts) return OnceDecision.Refuse(Refusal.HOME_NOT_CURRENT)
        return decide(attempt, nowMs).also { if (it is OnceDecision.Refuse) trackRefusal(attempt, it) }
    }

    /**
     * Handles the answer of the former home [from] to the block request that was sent for [attempt].
     *
     * Returns null while other answers are pending, or when [attempt] is no longer waiting for an answer.
     */
    fun onBlockAnswer(attempt: Attempt<O>, from: String, answer: BlockAnswer<O>): OnceDecision<O>? {
        val record = records[attempt.recordId] ?: return null
        val awaiting = record.state as? State.AwaitingBlocks ?: return null
        if (awaiting.attemptId != attempt.attemptId || from !in awaiting.pendingHomes) return null
        return when (answer) {
            BlockAnswer.Blocked -> onFormerHomeBlocked(record, awaiting, from)
            BlockAnswer.Spent -> markSpent(record)
            BlockAnswer.Running -> revertAndRefuse(attempt, Refusal.STILL_RUNNING)
            BlockAnswer.Unknown -> revertAndRefuse(attempt, Refusal.HOME_UNREACHABLE)
            is BlockAnswer.Done -> markDone(record, answer.outcome)
        }
    }

    /**
     * Answers the request of another home to block [key].
     *
     * After it has answered [BlockAnswer.Blocked], this daemon never runs the key.
     *
     * @param requesterVersion version of the home set that makes the requesting daemon the home of the key.
     */
    fun block(account: String, key: IdempotencyKey, requesterVersion: Long): BlockAnswer<O> {
        val id = RecordId(account, key.text)
        return when (val state = records[id]?.state) {
            State.Running -> BlockAnswer.Running
            State.Spent -> BlockAnswer.Spent
            is State.Done -> BlockAnswer.Done(state.outcome)
            is State.Blocked, is State.AwaitingBlocks, null -> blockUnexecuted(id, key, requesterVersion)
        }
    }

    /** Records the outcome of an execution that [begin] or [onBlockAnswer] permitted. */
    fun finish(attempt: Attempt<O>, outcome: O) {
        val record = records[attempt.recordId] ?: return
        if (record.state == State.Running) record.state = State.Done(outcome)
    }

    /** Revokes the permission to run; only valid if the request certainly did not reach the backend server. */
    fun abandon(attempt: Attempt<O>) {
        val record = records[attempt.recordId] ?: return
        if (record.state == State.Running) records.remove(attempt.recordId)
        refusedAttempts[attempt.attemptId] = attempt.expiresAtMs + policy.maxClockSkewMs
    }

    /** Evicts records whose keys are older than the window, and refused attempts that can no longer arrive. */
    fun evict(nowMs: Long) {
        records.values.removeIf { it.key.issuedAtMs + policy.windowMs + policy.maxClockSkewMs < nowMs && it.state !is State.Running }
        refusedAttempts.values.removeIf { it < nowMs }
    }

    /** Checks for a record or its loss first, so that a duplicate message of an executed attempt is never answered as not run. */
    private fun decide(attempt: Attempt<O>, nowMs: Long): OnceDecision<O> {
        val key = attempt.key
        val record = records[attempt.recordId]
        return when {
            record != null && record.state !is State.Blocked -> decideRecorded(record, attempt)
            record == null && recordMayBeLost(key) -> refuse(Refusal.RECORD_LOST)
            key.issuedAtMs > nowMs + policy.maxClockSkewMs -> refuse(Refusal.IDEMPOTENCY_KEY_FROM_FUTURE)
            key.issuedAtMs < nowMs - policy.windowMs -> refuse(Refusal.IDEMPOTENCY_KEY_TOO_OLD)
            attempt.expiresAtMs + policy.maxClockSkewMs <= nowMs -> refuse(Refusal.DEADLINE_PASSED)
            else -> decideUnrecorded(attempt, record, nowMs)
        }
    }

    private fun decideRecorded(record: Record<O>, attempt: Attempt<O>): OnceDecision<O> {
        if (record.fingerprint != attempt.fingerprint) return refuse(Refusal.IDEMPOTENCY_KEY_REUSED)
        return when (val state = record.state) {
            is State.Done -> OnceDecision.Kept(state.outcome)
            State.Running, is State.AwaitingBlocks -> refuse(Refusal.STILL_RUNNING)
            State.Spent -> refuse(Refusal.IDEMPOTENCY_KEY_SPENT)
            is State.Blocked -> refuse(Refusal.HOME_NOT_CURRENT)
        }
    }

    private fun decideUnrecorded(attempt: Attempt<O>, record: Record<O>?, nowMs: Long): OnceDecision<O> {
        val binding = attempt.key.binding
        if (binding != null) return decideMinted(attempt, binding)
        val set = homeSet
        return when {
            set == null || nowMs - provenAtMs >= policy.homeSetLeaseMs -> refuse(Refusal.HOME_NOT_CURRENT)
            set.current.homeOf(attempt.key.text) != self -> refuse(Refusal.HOME_NOT_CURRENT)
            else -> blockFormerHomesOrRun(attempt, set, record)
        }
    }

    private fun decideMinted(attempt: Attempt<O>, binding: HomeBinding): OnceDecision<O> =
        when {
            binding.home != self -> refuse(Refusal.HOME_NOT_CURRENT)
            else -> run(attempt)
        }

    /** A key blocked for a home set may be running at the home of that set, so only a later home set may decide on it. */
    private fun blockFormerHomesOrRun(attempt: Attempt<O>, set: HomeSet, record: Record<O>?): OnceDecision<O> {
        val blocked = record?.state as? State.Blocked
        if (blocked != null && blocked.version >= set.current.version) return refuse(Refusal.HOME_NOT_CURRENT)
        val formerHomes = set.formerHomes(attempt.key, policy) - self
        if (formerHomes.isEmpty()) return if (record == null) run(attempt) else markSpent(record)
        records[attempt.recordId] = Record(attempt.key, attempt.fingerprint, State.AwaitingBlocks(attempt.attemptId, formerHomes, blocked))
        return OnceDecision.Ask(formerHomes)
    }

    private fun onFormerHomeBlocked(record: Record<O>, awaiting: State.AwaitingBlocks, from: String): OnceDecision<O>? {
        val pendingHomes = awaiting.pendingHomes - from
        if (pendingHomes.isNotEmpty()) {
            record.state = awaiting.copy(pendingHomes = pendingHomes)
            return null
        }
        if (awaiting.previous != null) return markSpent(record)
        record.state = State.Running
        return OnceDecision.Run
    }

    /** Keeps the record, so that later homes receive the answer that the key is spent. */
    private fun markSpent(record: Record<O>): OnceDecision<O> {
        record.state = State.Spent
        return refuse(Refusal.IDEMPOTENCY_KEY_SPENT)
    }

    /** Restores the state before the block requests and refuses [attempt]. */
    private fun revertAndRefuse(attempt: Attempt<O>, refusal: Refusal): OnceDecision<O> {
        val previous = (records[attempt.recordId]?.state as? State.AwaitingBlocks)?.previous
        if (previous != null) records.getValue(attempt.recordId).state = previous else records.remove(attempt.recordId)
        return OnceDecision.Refuse(refusal).also { trackRefusal(attempt, it) }
    }

    private fun markDone(record: Record<O>, outcome: O): OnceDecision<O> {
        record.state = State.Done(outcome)
        return OnceDecision.Kept(outcome)
    }

    private fun blockUnexecuted(id: RecordId, key: IdempotencyKey, requesterVersion: Long): BlockAnswer<O> {
        val state = records[id]?.state
        if (state == null && (key.binding != null || lostAtRestart(key))) return BlockAnswer.Unknown
        val previous = state as? State.Blocked ?: (state as? State.AwaitingBlocks)?.previous
        val version = maxOf(requesterVersion, previous?.version ?: 0)
        records[id] = Record(key, fingerprint = 0, State.Blocked(version))
        return BlockAnswer.Blocked
    }

    private fun run(attempt: Attempt<O>): OnceDecision<O> {
        records[attempt.recordId] = Record(attempt.key, attempt.fingerprint, State.Running)
        return OnceDecision.Run
    }

    private fun lostAtRestart(key: IdempotencyKey) = key.issuedAtMs < startedAtMs + policy.maxClockSkewMs

    /** A minted key contains the incarnation that may have run it; for other keys the issue time decides. */
    private fun recordMayBeLost(key: IdempotencyKey): Boolean {
        val binding = key.binding ?: return lostAtRestart(key)
        return binding.home == self && binding.incarnation != incarnation
    }

    private fun trackRefusal(attempt: Attempt<O>, decision: OnceDecision.Refuse) {
        if (decision.refusal.ran == Ran.NOT_RUN) {
            refusedAttempts[attempt.attemptId] = attempt.expiresAtMs + policy.maxClockSkewMs
        }
    }

    private fun refuse(refusal: Refusal): OnceDecision.Refuse = OnceDecision.Refuse(refusal)

    private val Attempt<O>.recordId get() = RecordId(account, key.text)
}
