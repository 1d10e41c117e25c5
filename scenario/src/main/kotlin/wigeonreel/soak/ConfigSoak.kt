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
import wigeonreel.store.StoreError
import wigeonreel.store.TableChanges
import wigeonreel.store.TableService

/** Table service with one row, outages, slowness, lost answers, and at times an older answer to a read. */
private class FakeTable(
    private val queue: EventQueue,
) : TableService {
    private val history = mutableListOf<Row>()
    var up = true
    var faulty = true

    val current: Row? get() = history.lastOrNull()
    val writes: List<Row> get() = history

    override fun read(name: RowName, knownVersion: Long, onResult: (Either<StoreError, RowRead>) -> Unit) =
        answer({ read(knownVersion) }, onResult)

    override fun write(name: RowName, value: String, expectedVersion: Long?, onResult: (Either<StoreError, RowWrite>) -> Unit) =
        answer({ write(value, expectedVersion) }, onResult)

    override fun delete(name: RowName, onResult: (Either<StoreError, Unit>) -> Unit) = onResult(Unit.right())

    override fun scan(table: String, after: String, limit: Int, onResult: (Either<StoreError, List<Row>>) -> Unit) =
        onResult(emptyList<Row>().right())

    override fun watch(table: String, version: Long, waitMs: Long, onResult: (Either<StoreError, TableChanges>) -> Unit) =
        queue.after(waitMs) { onResult(TableChanges.Forgotten.right()) }

    private fun <T> answer(apply: () -> T, onResult: (Either<StoreError, T>) -> Unit) {
        if (!up) return queue.after(FAIL_MS) { onResult(StoreError.Unavailable("outage").left()) }
        val lostAnswer = faulty && queue.chance(LOST)
        queue.after(queue.random.nextLong(SLOW_MS) + 1) {
            val result = apply()
            if (!lostAnswer) queue.after(queue.random.nextLong(SLOW_MS) + 1) { onResult(result.right()) }
        }
        if (lostAnswer) queue.after(TIMEOUT_MS) { onResult(StoreError.InDoubt("lost").left()) }
    }

    private fun read(knownVersion: Long): RowRead {
        val stale = faulty && history.size > 1 && queue.chance(STALE)
        val row = (if (stale) history[history.size - 2] else history.lastOrNull()) ?: return RowRead.Absent(0)
        return if (row.version == knownVersion) RowRead.Unchanged(row.version) else RowRead.Found(row)
    }

    private fun write(value: String, expectedVersion: Long?): RowWrite {
        val found = current?.version ?: 0
        if (expectedVersion != null && expectedVersion != found) return RowWrite.Conflict(found)
        history += Row(CONFIG_ROW, found + 1, value)
        return RowWrite.Written(found + 1)
    }

    private companion object {
        const val LOST = 0.2
        const val STALE = 0.05
        const val FAIL_MS = 50L
        const val SLOW_MS = 400L
        const val TIMEOUT_MS = 1_000L
    }
}

/**
 * Attacks the configuration: racing operators, lost answers, store outages and old answers, restarts, lost deltas.
 *
 * Checks: a daemon's version never falls; a change said to be stored is stored, exactly once; a change said not to be
 * stored never is; once faults end, every daemon has the stored version within 7 s.
 */
class ConfigSoak(
    seed: Long,
) {
    private inner class Node(
        val number: Int,
    ) {
        val clock = Clock { queue.nowMs }
        var keeper = ConfigRepository(table, clock) {}
        var highest = 0L

        fun restart() {
            keeper = ConfigRepository(table, clock) {}
            highest = 0
        }

        fun check() {
            val version = keeper.replica.current.version
            queue.require("version-never-falls", version >= highest) { "d$number fell from $highest to $version" }
            highest = version
        }
    }

    private val queue = EventQueue(seed)
    private val table = FakeTable(queue)
    private val network = FakeNetwork(queue, loss = 0.1, doubling = 0.1)
    private val nodes = List(NODES) { Node(it) }
    private val claims = HashMap<String, WriteResult>()

    /** Changes asked for. */
    var writes = 0
        private set

    /** Changes said to be stored. */
    val storedWrites: Int get() = claims.values.count { it is WriteResult.Stored }

    /** Runs for [virtualMs] of virtual time; throws [InvariantViolation]. */
    fun run(virtualMs: Long) {
        nodes.forEach { node -> queue.repeatedly(POLL_MS) { node.keeper.poll { node.check() } } }
        nodes.forEach { node -> queue.repeatedly(GOSSIP_MS) { gossip(node) } }
        queue.repeatedly(WRITE_MS) { if (table.faulty) repeat(RACERS) { write(nodes.random(queue.random)) } }
        queue.repeatedly(RESTART_MS) { if (table.faulty) nodes.random(queue.random).restart() }
        queue.repeatedly(OUTAGE_MS) { table.up = !table.up || !table.faulty }
        queue.run(virtualMs)
        calm()
        checkClaims()
    }

    private fun calm() {
        table.faulty = false
        table.up = true
        network.faulty = false
        queue.run(DOUBT_MS)
        queue.run(IN_FORCE_MS)
        val stored = table.current?.let { parseDocument(it.value).getOrNull()!!.version } ?: 0
        nodes.forEach { node ->
            val version = node.keeper.replica.current.version
            queue.require("in-force-everywhere", version == stored) { "d${node.number} has version $version, stored is $stored" }
        }
    }

    private fun write(node: Node) {
        val name = "service/s${++writes}"
        val edit = ConfigEdit(name, """{"name":"s$writes"}""")
        node.keeper.write(listOf(edit), null) { result ->
            queue.note { "d${node.number} $name $result" }
            queue.require("one-answer", name !in claims) { "$name was answered twice" }
            claims[name] = result
            node.check()
        }
    }

    private fun gossip(from: Node) {
        val to = nodes.random(queue.random)
        val current = from.keeper.replica.current
        val since = (current.version - queue.random.nextLong(DELTA_VERSIONS)).coerceAtLeast(0)
        val delta: ConfigDelta = current.deltaSince(since)
        network.send(from.number, to.number) {
            to.keeper.offer(delta)
            to.check()
        }
    }

    private fun checkClaims() {
        val appearances = HashMap<String, Int>()
        var known = emptySet<String>()
        for (row in table.writes) {
            val names = parseDocument(row.value).getOrNull()!!.entries.mapTo(HashSet()) { it.name }
            (names - known).forEach { appearances.merge(it, 1, Int::plus) }
            queue.require("never-reverts", names.containsAll(known)) { "version ${row.version} lost ${known - names}" }
            known = names
        }
        for ((name, claim) in claims) {
            val stored = appearances[name] ?: 0
            val saidNotStored = claim is WriteResult.Refused || claim is WriteResult.NotStored
            queue.require("stored-is-true", claim !is WriteResult.Stored || stored == 1) { "$name was said to be stored and is not" }
            queue.require("not-stored-is-true", !saidNotStored || stored == 0) { "$name was said not to be stored ($claim) and is" }
        }
    }

    private companion object {
        const val NODES = 6
        const val RACERS = 2
        const val POLL_MS = 1_000L
        const val GOSSIP_MS = 200L
        const val WRITE_MS = 700L
        const val RESTART_MS = 5_000L
        const val OUTAGE_MS = 6_000L
        const val DELTA_VERSIONS = 4L
        const val IN_FORCE_MS = 7_000L
        const val DOUBT_MS = 12_000L
    }
}
