package wigeonreel.soak

import wigeonreel.once.Attempt
import wigeonreel.once.BlockAnswer
import wigeonreel.once.ExecutionRecords
import wigeonreel.once.HomeBinding
import wigeonreel.once.HomeSet
import wigeonreel.once.HomeSetVersion
import wigeonreel.once.IdempotencyKey
import wigeonreel.once.OnceDecision
import wigeonreel.once.OncePolicy
import wigeonreel.once.mintKey
import wigeonreel.once.parseIdempotencyKey
import wigeonreel.once.timeOrderedUuid
import wigeonreel.outcome.Ran
import wigeonreel.outcome.Refusal

/** Mechanisms of the at-most-once protocol that a run can leave out, to show that the checks notice. */
enum class OnceSabotage { NONE, NO_ASKING, NO_RESTART_RULE, NO_TENURE }

/**
 * Attacks the execution records: racing home sets, restarts, pauses, cuts, store outages, clock errors, repeats of keys.
 *
 * Checks: a key is run at most once; an attempt refused as not run was not run; a key called spent never runs; a kept
 * outcome is the outcome of the one run.
 */
class OnceSoak(
    seed: Long,
    private val sabotage: OnceSabotage = OnceSabotage.NONE,
) {
    private inner class Node(
        val number: Int,
    ) : FakeProcess(queue, CLOCK_ERROR_MS) {
        val id = "d$number"
        lateinit var records: ExecutionRecords<String>

        fun start() {
            incarnation++
            val startedAtMs = if (sabotage == OnceSabotage.NO_RESTART_RULE) 0 else clockMs()
            records = ExecutionRecords(id, incarnation, startedAtMs, policy)
            readStore()
        }

        fun readStore() {
            val startedMs = clockMs()
            val live = incarnation
            if (!storeUp) return
            val read = stored
            queue.after(queue.random.nextLong(STORE_MS)) { awake { if (live == incarnation) offer(read, startedMs) } }
        }

        private fun offer(read: HomeSet, startedMs: Long) =
            records.updateHomeSet(read, if (sabotage == OnceSabotage.NO_TENURE) Long.MAX_VALUE / 2 else startedMs)
    }

    private val queue = EventQueue(seed)
    private val policy = OncePolicy(windowMs = WINDOW_MS, homeSetLeaseMs = TENURE_MS, maxClockSkewMs = CLOCK_MARGIN_MS)
    private val network = FakeNetwork(queue, loss = 0.05, doubling = 0.05)
    private var stored = HomeSet("pitch", listOf(HomeSetVersion(1, List(NODES) { "d$it" }, queue.nowMs)))
    private var storeUp = true
    private val nodes = List(NODES) { Node(it) }
    private val runsByKey = HashMap<String, Int>()
    private val outcomes = HashMap<String, String>()
    private val ranAttempts = HashSet<String>()
    private val notRunAttempts = HashSet<String>()
    private val spentKeys = HashSet<String>()
    private var attempts = 0L

    /** Number of keys that were run. */
    val runs: Int get() = runsByKey.size

    /** Number of attempts made. */
    val attemptCount: Long get() = attempts

    /** Runs for [virtualMs] of virtual time; throws [InvariantViolation]. */
    fun run(virtualMs: Long) {
        nodes.forEach { it.start() }
        queue.repeatedly(KEY_MS) { issueKey() }
        nodes.forEach { node -> queue.repeatedly(REFRESH_MS) { node.awake { node.readStore() } } }
        nodes.forEach { node -> queue.repeatedly(EVICT_MS) { node.awake { node.records.evict(node.clockMs()) } } }
        queue.repeatedly(CHANGE_MS) { changeHomeSet() }
        queue.repeatedly(RESTART_MS) { nodes.random(queue.random).let { node -> restart(node) } }
        queue.repeatedly(PAUSE_MS) {
            nodes.random(queue.random).let {
                it.pausedUntilMs =
                    queue.nowMs + queue.random.nextLong(PAUSE_LENGTH_MS)
            }
        }
        queue.repeatedly(OUTAGE_MS) { storeUp = !storeUp }
        queue.repeatedly(CUT_MS) { cut() }
        queue.run(virtualMs)
    }

    private fun restart(node: Node) {
        queue.note { "restart ${node.id}" }
        node.start()
    }

    private fun cut() {
        val left = nodes.indices.filter { queue.random.nextBoolean() }
        val right = nodes.indices - left.toSet()
        network.setCut(left, right, true)
        queue.after(queue.random.nextLong(CUT_LENGTH_MS)) { network.setCut(left, right, false) }
    }

    /** Two writers race: each read the set earlier, and only the one whose version still stands is written. */
    private fun changeHomeSet() {
        val seen = stored
        repeat(RACERS) {
            val writer = nodes.random(queue.random)
            val members = nodes.map { it.id }.shuffled(queue.random).take(queue.random.nextInt(1, NODES + 1))
            queue.after(queue.random.nextLong(STORE_MS)) {
                if (storeUp && stored.current.version == seen.current.version) {
                    val nowMs = writer.clockMs()
                    stored = seen.next(members, nowMs, nowMs - policy.windowMs - policy.homeSetLeaseMs - 2 * policy.maxClockSkewMs)
                    queue.note { "home set ${stored.current}" }
                }
            }
        }
    }

    private fun issueKey() {
        val callerClockMs = queue.nowMs + queue.random.nextLong(-CLOCK_ERROR_MS, CLOCK_ERROR_MS + 1)
        val key =
            if (queue.chance(MINTED_SHARE)) {
                val home = nodes.random(queue.random)
                mintKey(HomeBinding(home.id, home.incarnation), home.clockMs(), queue.random.nextLong(), queue.random.nextLong())
            } else {
                parseIdempotencyKey(
                    timeOrderedUuid(callerClockMs, queue.random.nextLong(), queue.random.nextLong()).toString(),
                ).getOrNull()!!
            }
        var delayMs = 0L
        repeat(1 + queue.random.nextInt(MAX_REPEATS)) {
            queue.after(delayMs) { sendAttempt(key) }
            delayMs += queue.random.nextLong(if (queue.chance(FAR_SHARE)) WINDOW_MS + TENURE_MS else NEAR_REPEAT_MS)
        }
    }

    private fun sendAttempt(key: IdempotencyKey) {
        val entry = nodes.random(queue.random)
        val view = entry.records.currentHomeSet ?: return
        val homeId = key.binding?.home ?: view.current.homeOf(key.text) ?: return
        val home = nodes.first { it.id == homeId }
        val attempt = Attempt<String>("a${++attempts}", "account", key, 0, entry.clockMs() + ATTEMPT_TIMEOUT_MS)
        network.send(entry.number, home.number) { home.awake { begin(home, attempt) } }
    }

    private fun begin(home: Node, attempt: Attempt<String>) = act(home, attempt, home.records.begin(attempt, home.clockMs()))

    private fun act(home: Node, attempt: Attempt<String>, decision: OnceDecision<String>) {
        queue.note { "${home.id} ${attempt.attemptId} ${attempt.key.text} $decision" }
        when (decision) {
            OnceDecision.Run -> run(home, attempt)
            is OnceDecision.Kept -> queue.require("kept-outcome", outcomes[attempt.key.text] == decision.outcome) { attempt.toString() }
            is OnceDecision.Refuse -> refused(attempt, decision.refusal)
            is OnceDecision.Ask -> decision.homes.forEach { ask(home, attempt, it) }
        }
    }

    private fun run(home: Node, attempt: Attempt<String>) {
        if (queue.chance(GUARD_REFUSES)) {
            home.records.abandon(attempt)
            refused(attempt, Refusal.OVERLOADED)
            return
        }
        val key = attempt.key.text
        val runs = runsByKey.merge(key, 1, Int::plus)!!
        queue.require("at-most-once", runs == 1) { "key $key was run $runs times, now by ${home.id}" }
        queue.require("spent-never-runs", key !in spentKeys) { "key $key was called spent and is run by ${home.id}" }
        ranAttempts += attempt.attemptId
        queue.require("not-run-is-true", attempt.attemptId !in notRunAttempts) { "${attempt.attemptId} was refused as not run and is run" }
        outcomes[key] = "outcome of ${attempt.attemptId}"
        val live = home.incarnation
        queue.after(queue.random.nextLong(SERVICE_MS) + 1) {
            home.awake { if (home.incarnation == live) home.records.finish(attempt, outcomes.getValue(key)) }
        }
    }

    private fun refused(attempt: Attempt<String>, refusal: Refusal) {
        if (refusal == Refusal.IDEMPOTENCY_KEY_SPENT) {
            spentKeys += attempt.key.text
            queue.require("spent-never-runs", attempt.key.text !in runsByKey) { "key ${attempt.key.text} was run and is called spent" }
        }
        if (refusal.ran != Ran.NOT_RUN) return
        notRunAttempts += attempt.attemptId
        queue.require("not-run-is-true", attempt.attemptId !in ranAttempts) { "${attempt.attemptId} was run and is refused as $refusal" }
    }

    private fun ask(home: Node, attempt: Attempt<String>, formerId: String) {
        val former = nodes.first { it.id == formerId }
        val live = home.incarnation
        val answered = { answer: BlockAnswer<String> ->
            home.awake {
                if (home.incarnation == live) home.records.onBlockAnswer(attempt, formerId, answer)?.let { act(home, attempt, it) }
            }
        }
        if (sabotage == OnceSabotage.NO_ASKING) return answered(BlockAnswer.Blocked)
        val askerVersion = home.records.homeSetVersion
        network.send(home.number, former.number) {
            former.awake {
                val answer = former.records.block(attempt.account, attempt.key, askerVersion)
                network.send(former.number, home.number) { answered(answer) }
            }
        }
        queue.after(ASK_TIMEOUT_MS) { answered(BlockAnswer.Unknown) }
    }

    private companion object {
        const val NODES = 4
        const val RACERS = 2
        const val CLOCK_ERROR_MS = 200L
        const val CLOCK_MARGIN_MS = 500L
        const val WINDOW_MS = 60_000L
        const val TENURE_MS = 20_000L
        const val KEY_MS = 50L
        const val NEAR_REPEAT_MS = 2_000L
        const val MAX_REPEATS = 4
        const val FAR_SHARE = 0.2
        const val MINTED_SHARE = 0.2
        const val GUARD_REFUSES = 0.05
        const val REFRESH_MS = 3_000L
        const val EVICT_MS = 5_000L
        const val CHANGE_MS = 4_000L
        const val RESTART_MS = 15_000L
        const val PAUSE_MS = 10_000L
        const val PAUSE_LENGTH_MS = 30_000L
        const val OUTAGE_MS = 20_000L
        const val CUT_MS = 10_000L
        const val CUT_LENGTH_MS = 15_000L
        const val STORE_MS = 300L
        const val SERVICE_MS = 500L
        const val ASK_TIMEOUT_MS = 500L
        const val ATTEMPT_TIMEOUT_MS = 5_000L
    }
}
