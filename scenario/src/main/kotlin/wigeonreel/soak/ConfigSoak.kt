package wigeonreel.soak

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigEdit
import wigeonreel.config.parseDocument
import wigeonreel.control.CONFIG_ROW
import wigeonreel.control.ConfigRepository
import wigeonreel.control.WriteResult
import wigeonreel.daemon.Clock
import wigeonreel.store.Row
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.RowWrite
import wigeonreel.store.StoreEras
import wigeonreel.store.StoreError
import wigeonreel.store.StoreVersion
import wigeonreel.store.TableChanges
import wigeonreel.store.TablePage
import wigeonreel.store.TableService

/** Simulated table service with a single row, outages, delays, lost answers and occasional stale reads. */
private class FakeTable(
    private val queue: EventQueue,
) : TableService {
    private val history = mutableListOf<Row>()
    var up = true
    var faulty = true

    val current: Row? get() = history.lastOrNull()
    val writes: List<Row> get() = history

    override val eras = StoreEras()

    override fun read(name: RowName, knownVersion: StoreVersion?, onResult: (Either<StoreError, RowRead>) -> Unit) =
        answer({ read(knownVersion) }, onResult)

    override fun write(name: RowName, value: String, expectedVersion: StoreVersion?, onResult: (Either<StoreError, RowWrite>) -> Unit) =
        answer({ write(value, expectedVersion) }, onResult)

    override fun delete(name: RowName, onResult: (Either<StoreError, Unit>) -> Unit) = onResult(Unit.right())

    override fun scan(table: String, after: String, limit: Int, onResult: (Either<StoreError, TablePage>) -> Unit) =
        onResult(TablePage(emptyList(), null).right())

    override fun watch(table: String, version: StoreVersion, waitMs: Long, onResult: (Either<StoreError, TableChanges>) -> Unit) =
        queue.after(waitMs) { onResult(TableChanges.Forgotten.right()) }

    private fun <T> answer(apply: () -> T, onResult: (Either<StoreError, T>) -> Unit) {
        if (!up) return queue.after(UNAVAILABLE_DELAY_MS) { onResult(StoreError.Unavailable("outage").left()) }
        val lostAnswer = faulty && queue.chance(ANSWER_LOSS_PROBABILITY)
        queue.after(queue.random.nextLong(MAX_DELAY_MS) + 1) {
            val result = apply()
            if (!lostAnswer) queue.after(queue.random.nextLong(MAX_DELAY_MS) + 1) { onResult(result.right()) }
        }
        if (lostAnswer) queue.after(TIMEOUT_MS) { onResult(StoreError.InDoubt("lost").left()) }
    }

    private fun read(knownVersion: StoreVersion?): RowRead {
        val stale = faulty && history.size > 1 && queue.chance(STALE_READ_PROBABILITY)
        val row = (if (stale) history[history.size - 2] else history.lastOrNull()) ?: return RowRead.Absent(version(0))
        return if (row.version == knownVersion) RowRead.Unchanged(row.version) else RowRead.Found(row)
    }

    private fun write(value: String, expectedVersion: StoreVersion?): RowWrite {
        val found = current?.version ?: StoreVersion.ABSENT
        if (expectedVersion != null && expectedVersion != found) return RowWrite.Conflict(found)
        val next = version(found.number + 1)
        history += Row(CONFIG_ROW, next, value)
        return RowWrite.Written(next)
    }

    private fun version(number: Long) = StoreVersion(number, StoreVersion.NO_ERA)

    private companion object {
        const val ANSWER_LOSS_PROBABILITY = 0.2
        const val STALE_READ_PROBABILITY = 0.05
        const val UNAVAILABLE_DELAY_MS = 50L
        const val MAX_DELAY_MS = 400L
        const val TIMEOUT_MS = 1_000L
    }
}

/**
 * Tests the configuration under concurrent writes by operators, lost answers, store outages, stale reads, restarts and
 * lost deltas.
 *
 * Checks: a daemon's version never decreases; each change gets one result; a change reported as stored is stored exactly
 * once; a change reported as not stored is never stored; a stored change stays in all later versions; once the
 * faults have ended and no write is in doubt, every daemon reaches the stored version within 7 s.
 */
class ConfigSoak(
    seed: Long,
) {
    private inner class Node(
        val number: Int,
    ) {
        val clock = Clock { queue.nowMs }
        var repository = ConfigRepository(table, clock) {}
        var highestVersion = 0L

        fun restart() {
            repository = ConfigRepository(table, clock) {}
            highestVersion = 0
        }

        fun check() {
            val version = repository.replica.current.version
            queue.require("version-never-falls", version >= highestVersion) { "d$number fell from $highestVersion to $version" }
            highestVersion = version
        }
    }

    private val queue = EventQueue(seed)
    private val table = FakeTable(queue)
    private val network = FakeNetwork(queue, loss = 0.1, duplication = 0.1)
    private val nodes = List(NODES) { Node(it) }
    private val results = HashMap<String, WriteResult>()

    /** Number of changes submitted. */
    var writes = 0
        private set

    /** Number of changes reported as stored. */
    val storedWrites: Int get() = results.values.count { it is WriteResult.Stored }

    /** Runs for [virtualMs] of virtual time, then without faults for 19 s; throws [InvariantViolation] at the first failed check. */
    fun run(virtualMs: Long) {
        nodes.forEach { node -> queue.repeatedly(POLL_INTERVAL_MS) { node.repository.poll { node.check() } } }
        nodes.forEach { node -> queue.repeatedly(GOSSIP_INTERVAL_MS) { gossip(node) } }
        queue.repeatedly(WRITE_INTERVAL_MS) { if (table.faulty) repeat(CONCURRENT_WRITERS) { write(nodes.random(queue.random)) } }
        queue.repeatedly(RESTART_INTERVAL_MS) { if (table.faulty) nodes.random(queue.random).restart() }
        queue.repeatedly(OUTAGE_TOGGLE_INTERVAL_MS) { table.up = !table.up || !table.faulty }
        queue.run(virtualMs)
        checkConvergence()
        checkResults()
    }

    /** Ends all faults, lets writes in doubt finish, and checks that every daemon then reaches the stored version in time. */
    private fun checkConvergence() {
        table.faulty = false
        table.up = true
        network.faulty = false
        queue.run(IN_DOUBT_RESOLUTION_MS)
        queue.run(PROPAGATION_LIMIT_MS)
        val stored = table.current?.let { parseDocument(it.value).getOrNull()!!.version } ?: 0
        nodes.forEach { node ->
            val version = node.repository.replica.current.version
            queue.require("in-force-everywhere", version == stored) { "d${node.number} has version $version, stored is $stored" }
        }
    }

    private fun write(node: Node) {
        val name = "service/s${++writes}"
        val edit = ConfigEdit(name, """{"name":"s$writes"}""")
        node.repository.write(listOf(edit), null) { result ->
            queue.appendTrace { "d${node.number} $name $result" }
            queue.require("one-answer", name !in results) { "$name got two results" }
            results[name] = result
            node.check()
        }
    }

    private fun gossip(from: Node) {
        val to = nodes.random(queue.random)
        val current = from.repository.replica.current
        val since = (current.version - queue.random.nextLong(DELTA_VERSIONS)).coerceAtLeast(0)
        val delta: ConfigDelta = current.deltaSince(since)
        network.send(from.number, to.number) {
            to.repository.offer(delta)
            to.check()
        }
    }

    private fun checkResults() {
        val storedCounts = HashMap<String, Int>()
        var earlierNames = emptySet<String>()
        for (row in table.writes) {
            val names = parseDocument(row.value).getOrNull()!!.entries.mapTo(HashSet()) { it.name }
            (names - earlierNames).forEach { storedCounts.merge(it, 1, Int::plus) }
            queue.require("never-reverts", names.containsAll(earlierNames)) { "version ${row.version} lost ${earlierNames - names}" }
            earlierNames = names
        }
        for ((name, result) in results) {
            val stored = storedCounts[name] ?: 0
            val reportedNotStored = result is WriteResult.Refused || result is WriteResult.NotStored
            queue.require("stored-is-true", result !is WriteResult.Stored || stored == 1) {
                "$name was reported as stored but was not stored exactly once"
            }
            queue.require("not-stored-is-true", !reportedNotStored || stored == 0) { "$name was reported as not stored ($result) but is" }
        }
    }

    private companion object {
        const val NODES = 6
        const val CONCURRENT_WRITERS = 2
        const val POLL_INTERVAL_MS = 1_000L
        const val GOSSIP_INTERVAL_MS = 200L
        const val WRITE_INTERVAL_MS = 700L
        const val RESTART_INTERVAL_MS = 5_000L
        const val OUTAGE_TOGGLE_INTERVAL_MS = 6_000L
        const val DELTA_VERSIONS = 4L
        const val PROPAGATION_LIMIT_MS = 7_000L
        const val IN_DOUBT_RESOLUTION_MS = 12_000L
    }
}
