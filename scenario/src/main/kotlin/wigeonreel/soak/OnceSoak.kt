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

/**
 * Mechanism of the at-most-once protocol that a run disables, to verify that the checks detect its absence.
 *
 * [NO_BLOCK_REQUESTS] skips the block requests to former homes, [NO_RESTART_CHECK] hides a restart and its lost records
 * from the home, and [NO_LEASE_EXPIRY] lets a home act on a home set without a time limit.
 */
enum class OnceDefect { NONE, NO_BLOCK_REQUESTS, NO_RESTART_CHECK, NO_LEASE_EXPIRY }

/**
 * Tests the execution records under concurrent home set changes, restarts, pauses, network partitions, store outages,
 * clock errors and retries with the same key.
 *
 * Checks: a key is executed at most once; an attempt refused as not run is never executed; a key reported as spent is
 * never executed; a kept outcome is the outcome of the only execution.
 */
class OnceSoak(
    seed: Long,
    private val defect: OnceDefect = OnceDefect.NONE,
) {
    private inner class Node(
        val number: Int,
    ) : FakeProcess(queue, MAX_CLOCK_ERROR_MS) {
        val id = "d$number"
        lateinit var records: ExecutionRecords<String>

        fun start() {
            incarnation++
            val startedAtMs = if (defect == OnceDefect.NO_RESTART_CHECK) 0 else clockMs()
            records = ExecutionRecords(id, incarnation, startedAtMs, policy)
            readStore()
        }

        fun readStore() {
            val startedMs = clockMs()
            val expectedIncarnation = incarnation
            if (!storeUp) return
            val snapshot = stored
            queue.after(queue.random.nextLong(MAX_STORE_DELAY_MS)) {
                whenResumed { if (expectedIncarnation == incarnation) updateHomeSet(snapshot, startedMs) }
            }
        }

        private fun updateHomeSet(snapshot: HomeSet, startedMs: Long) =
            records.updateHomeSet(snapshot, if (defect == OnceDefect.NO_LEASE_EXPIRY) Long.MAX_VALUE / 2 else startedMs)
    }

    private val queue = EventQueue(seed)
    private val policy = OncePolicy(windowMs = KEY_WINDOW_MS, homeSetLeaseMs = HOME_SET_LEASE_MS, maxClockSkewMs = ALLOWED_CLOCK_SKEW_MS)
    private val network = FakeNetwork(queue, loss = 0.05, duplication = 0.05)
    private var stored = HomeSet("pitch", listOf(HomeSetVersion(1, List(NODES) { "d$it" }, queue.nowMs)))
    private var storeUp = true
    private val nodes = List(NODES) { Node(it) }
    private val runsByKey = HashMap<String, Int>()
    private val outcomes = HashMap<String, String>()
    private val ranAttempts = HashSet<String>()
    private val notRunAttempts = HashSet<String>()
    private val spentKeys = HashSet<String>()
    private var attempts = 0L

    /** Number of executed keys. */
    val runs: Int get() = runsByKey.size

    /** Number of attempts sent. */
    val attemptCount: Long get() = attempts

    /** Runs for [virtualMs] of virtual time; throws [InvariantViolation] at the first failed check. */
    fun run(virtualMs: Long) {
        nodes.forEach { it.start() }
        queue.repeatedly(KEY_INTERVAL_MS) { issueKey() }
        nodes.forEach { node -> queue.repeatedly(STORE_READ_INTERVAL_MS) { node.whenResumed { node.readStore() } } }
        nodes.forEach { node -> queue.repeatedly(EVICTION_INTERVAL_MS) { node.whenResumed { node.records.evict(node.clockMs()) } } }
        queue.repeatedly(HOME_SET_CHANGE_INTERVAL_MS) { changeHomeSet() }
        queue.repeatedly(RESTART_INTERVAL_MS) { nodes.random(queue.random).let { node -> restart(node) } }
        queue.repeatedly(PAUSE_INTERVAL_MS) {
            nodes.random(queue.random).let {
                it.pausedUntilMs =
                    queue.nowMs + queue.random.nextLong(MAX_PAUSE_MS)
            }
        }
        queue.repeatedly(OUTAGE_TOGGLE_INTERVAL_MS) { storeUp = !storeUp }
        queue.repeatedly(PARTITION_INTERVAL_MS) { partition() }
        queue.run(virtualMs)
    }

    private fun restart(node: Node) {
        queue.appendTrace { "restart ${node.id}" }
        node.start()
    }

    private fun partition() {
        val groupA = nodes.indices.filter { queue.random.nextBoolean() }
        val groupB = nodes.indices - groupA.toSet()
        network.setPartitioned(groupA, groupB, true)
        queue.after(queue.random.nextLong(MAX_PARTITION_MS)) { network.setPartitioned(groupA, groupB, false) }
    }

    /** Lets two writers change the home set concurrently; a write succeeds only if the stored version is still the one it read. */
    private fun changeHomeSet() {
        val expected = stored
        repeat(CONCURRENT_WRITERS) {
            val writer = nodes.random(queue.random)
            val members = nodes.map { it.id }.shuffled(queue.random).take(queue.random.nextInt(1, NODES + 1))
            queue.after(queue.random.nextLong(MAX_STORE_DELAY_MS)) {
                if (storeUp && stored.current.version == expected.current.version) {
                    val nowMs = writer.clockMs()
                    stored = expected.next(members, nowMs, nowMs - policy.windowMs - policy.homeSetLeaseMs - 2 * policy.maxClockSkewMs)
                    queue.appendTrace { "home set ${stored.current}" }
                }
            }
        }
    }

    private fun issueKey() {
        val callerClockMs = queue.nowMs + queue.random.nextLong(-MAX_CLOCK_ERROR_MS, MAX_CLOCK_ERROR_MS + 1)
        val key =
            if (queue.chance(MINTED_KEY_PROBABILITY)) {
                val home = nodes.random(queue.random)
                mintKey(HomeBinding(home.id, home.incarnation), home.clockMs(), queue.random.nextLong(), queue.random.nextLong())
            } else {
                parseIdempotencyKey(
                    timeOrderedUuid(callerClockMs, queue.random.nextLong(), queue.random.nextLong()).toString(),
                ).getOrNull()!!
            }
        var delayMs = 0L
        repeat(1 + queue.random.nextInt(MAX_ATTEMPTS)) {
            queue.after(delayMs) { sendAttempt(key) }
            delayMs +=
                queue.random.nextLong(
                    if (queue.chance(LATE_RETRY_PROBABILITY)) KEY_WINDOW_MS + HOME_SET_LEASE_MS else MAX_EARLY_RETRY_DELAY_MS,
                )
        }
    }

    private fun sendAttempt(key: IdempotencyKey) {
        val entry = nodes.random(queue.random)
        val homeSet = entry.records.currentHomeSet ?: return
        val homeId = key.binding?.home ?: homeSet.current.homeOf(key.text) ?: return
        val home = nodes.first { it.id == homeId }
        val attempt = Attempt<String>("a${++attempts}", "account", key, 0, entry.clockMs() + ATTEMPT_TIMEOUT_MS)
        network.send(entry.number, home.number) { home.whenResumed { begin(home, attempt) } }
    }

    private fun begin(home: Node, attempt: Attempt<String>) = applyDecision(home, attempt, home.records.begin(attempt, home.clockMs()))

    private fun applyDecision(home: Node, attempt: Attempt<String>, decision: OnceDecision<String>) {
        queue.appendTrace { "${home.id} ${attempt.attemptId} ${attempt.key.text} $decision" }
        when (decision) {
            OnceDecision.Run -> run(home, attempt)
            is OnceDecision.Kept -> queue.require("kept-outcome", outcomes[attempt.key.text] == decision.outcome) { attempt.toString() }
            is OnceDecision.Refuse -> recordRefusal(attempt, decision.refusal)
            is OnceDecision.Ask -> decision.homes.forEach { requestBlock(home, attempt, it) }
        }
    }

    private fun run(home: Node, attempt: Attempt<String>) {
        if (queue.chance(GUARD_REFUSAL_PROBABILITY)) {
            home.records.abandon(attempt)
            recordRefusal(attempt, Refusal.OVERLOADED)
            return
        }
        val key = attempt.key.text
        val runs = runsByKey.merge(key, 1, Int::plus)!!
        queue.require("at-most-once", runs == 1) { "key $key was executed $runs times, the last time by ${home.id}" }
        queue.require("spent-never-runs", key !in spentKeys) { "key $key was reported as spent but is executed by ${home.id}" }
        ranAttempts += attempt.attemptId
        queue.require("not-run-is-true", attempt.attemptId !in notRunAttempts) {
            "${attempt.attemptId} was refused as not run but is executed"
        }
        outcomes[key] = "outcome of ${attempt.attemptId}"
        val expectedIncarnation = home.incarnation
        queue.after(queue.random.nextLong(MAX_SERVICE_TIME_MS) + 1) {
            home.whenResumed { if (home.incarnation == expectedIncarnation) home.records.finish(attempt, outcomes.getValue(key)) }
        }
    }

    private fun recordRefusal(attempt: Attempt<String>, refusal: Refusal) {
        if (refusal == Refusal.IDEMPOTENCY_KEY_SPENT) {
            spentKeys += attempt.key.text
            queue.require("spent-never-runs", attempt.key.text !in runsByKey) {
                "key ${attempt.key.text} was executed but is reported as spent"
            }
        }
        if (refusal.ran != Ran.NOT_RUN) return
        notRunAttempts += attempt.attemptId
        queue.require("not-run-is-true", attempt.attemptId !in ranAttempts) {
            "${attempt.attemptId} was executed but is refused as $refusal"
        }
    }

    private fun requestBlock(home: Node, attempt: Attempt<String>, formerId: String) {
        val formerHome = nodes.first { it.id == formerId }
        val expectedIncarnation = home.incarnation
        val onAnswer = { answer: BlockAnswer<String> ->
            home.whenResumed {
                if (home.incarnation == expectedIncarnation) {
                    home.records.onBlockAnswer(attempt, formerId, answer)?.let { applyDecision(home, attempt, it) }
                }
            }
        }
        if (defect == OnceDefect.NO_BLOCK_REQUESTS) return onAnswer(BlockAnswer.Blocked)
        val requesterVersion = home.records.homeSetVersion
        network.send(home.number, formerHome.number) {
            formerHome.whenResumed {
                val answer = formerHome.records.block(attempt.account, attempt.key, requesterVersion)
                network.send(formerHome.number, home.number) { onAnswer(answer) }
            }
        }
        queue.after(BLOCK_TIMEOUT_MS) { onAnswer(BlockAnswer.Unknown) }
    }

    private companion object {
        const val NODES = 4
        const val CONCURRENT_WRITERS = 2
        const val MAX_CLOCK_ERROR_MS = 200L
        const val ALLOWED_CLOCK_SKEW_MS = 500L
        const val KEY_WINDOW_MS = 60_000L
        const val HOME_SET_LEASE_MS = 20_000L
        const val KEY_INTERVAL_MS = 50L
        const val MAX_EARLY_RETRY_DELAY_MS = 2_000L
        const val MAX_ATTEMPTS = 4
        const val LATE_RETRY_PROBABILITY = 0.2
        const val MINTED_KEY_PROBABILITY = 0.2
        const val GUARD_REFUSAL_PROBABILITY = 0.05
        const val STORE_READ_INTERVAL_MS = 3_000L
        const val EVICTION_INTERVAL_MS = 5_000L
        const val HOME_SET_CHANGE_INTERVAL_MS = 4_000L
        const val RESTART_INTERVAL_MS = 15_000L
        const val PAUSE_INTERVAL_MS = 10_000L
        const val MAX_PAUSE_MS = 30_000L
        const val OUTAGE_TOGGLE_INTERVAL_MS = 20_000L
        const val PARTITION_INTERVAL_MS = 10_000L
        const val MAX_PARTITION_MS = 15_000L
        const val MAX_STORE_DELAY_MS = 300L
        const val MAX_SERVICE_TIME_MS = 500L
        const val BLOCK_TIMEOUT_MS = 500L
        const val ATTEMPT_TIMEOUT_MS = 5_000L
    }
}
