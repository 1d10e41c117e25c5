package wigeonreel.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import wigeonreel.config.ConfigDocument
import wigeonreel.config.ConfigEdit
import wigeonreel.config.ConfigError
import wigeonreel.config.ConfigOffer
import wigeonreel.config.ConfigReplica
import wigeonreel.config.Configuration
import wigeonreel.config.parseDocument
import wigeonreel.config.toJson
import wigeonreel.daemon.Clock
import wigeonreel.kernel.Log
import wigeonreel.store.RowName
import wigeonreel.store.RowRead
import wigeonreel.store.RowWrite
import wigeonreel.store.StoreError
import wigeonreel.store.TableChanges
import wigeonreel.store.TableService
import java.util.UUID
import java.util.concurrent.ThreadLocalRandom

/** Result of a configuration write. */
sealed interface WriteResult {
    /** The change is stored as [version]. */
    data class Stored(
        val version: Long,
    ) : WriteResult

    /** The change is not stored. */
    data class Refused(
        val error: ConfigError,
    ) : WriteResult

    /** The store can't be reached; the change is not stored. */
    data class NotStored(
        val error: StoreError,
    ) : WriteResult

    /** The store did not tell whether the change took effect. */
    data class Unknown(
        val error: StoreError,
    ) : WriteResult
}

/** Row of the table service that holds the configuration. */
val CONFIG_ROW: RowName = RowName("config", "current")

/** Where the configuration stands in the store and how its text is read. */
class ConfigFormat(
    val row: RowName,
    val parse: (String) -> Either<ConfigError, ConfigDocument>,
)

/** Configuration as this product's operators write it. */
val OWN_FORMAT: ConfigFormat = ConfigFormat(CONFIG_ROW, ::parseDocument)

/** One daemon's configuration: its replica, reads from the store, and writes by compare-and-set. */
class ConfigKeeper(
    private val table: TableService,
    private val clock: Clock,
    private val format: ConfigFormat = OWN_FORMAT,
    private val onChange: () -> Unit,
) {
    private val log = Log("config")
    private var storedRow = 0L
    private var watchFrom = 0L
    private var following = false
    private var followAtMs = 0L
    private var storeLost = false

    /** Replica that only moves to higher versions. */
    val replica = ConfigReplica()

    /** Time at which the version in force was last known to be the stored one. */
    var provenAtMs = 0L
        private set

    /** Time at which the store last answered. */
    var storeHeardAtMs = 0L
        private set

    /** Takes a delta or document that another daemon sent. */
    fun offer(delta: wigeonreel.config.ConfigDelta): ConfigOffer = replica.offer(delta).also { onOffer(it) }

    /** Takes another daemon's proof that [version] was current at [atMs]. */
    fun prove(version: Long, atMs: Long) {
        if (version == replica.current.version) provenAtMs = maxOf(provenAtMs, minOf(atMs, clock.nowMs()))
    }

    /** Reads the store once; [onRead] gets whether it answered. */
    fun poll(onRead: (Boolean) -> Unit = {}) = read { onRead(it != null) }

    /** Keeps watching the store for changes; to be called often, does nothing while a call is open. */
    fun follow(nowMs: Long) {
        if (following || nowMs < followAtMs) return
        following = true
        if (watchFrom == 0L) read { onFollowed(it) } else watch()
    }

    private fun read(onVersion: (Long?) -> Unit) {
        val startedMs = clock.nowMs()
        table.read(format.row, storedRow) { result ->
            result.fold({ onStoreLost(it) }, { onRead(it, startedMs) })
            onVersion(result.getOrNull()?.storeVersion)
        }
    }

    private fun watch() {
        val startedMs = clock.nowMs()
        table.watch(format.row.table, watchFrom, WATCH_MS) { result ->
            result.onLeft { onStoreLost(it) }
            val seen = result.getOrNull() as? TableChanges.Available
            seen?.let { onSeen(it, startedMs) }
            onFollowed(seen?.version)
        }
    }

    /** After a lost call or a forgotten history the row itself is read again. */
    private fun onFollowed(version: Long?) {
        following = false
        watchFrom = version ?: 0
        followAtMs = if (version == null) clock.nowMs() + RETRY_MS + ThreadLocalRandom.current().nextLong(RETRY_MS) else 0
    }

    private fun onSeen(seen: TableChanges.Available, startedMs: Long) {
        onStoreHeard()
        provenAtMs = maxOf(provenAtMs, startedMs)
        seen.rows.lastOrNull { it.name == format.row }?.let { takeDocument(RowRead.Found(it), startedMs) }
    }

    private fun onStoreHeard() {
        storeHeardAtMs = clock.nowMs()
        if (storeLost) log.info("the store answers again")
        storeLost = false
    }

    private fun onStoreLost(error: StoreError) {
        if (!storeLost) log.warn("the store is lost: ${error.message}")
        storeLost = true
    }

    /** Applies [edits] to the version in force, if the store has that version. */
    fun write(edits: List<ConfigEdit>, expectedVersion: Long?, onResult: (WriteResult) -> Unit) {
        val operation = UUID.randomUUID().toString()
        table.read(format.row, 0) { result ->
            result.fold({ onResult(WriteResult.NotStored(it)) }, { writeOver(it, edits, expectedVersion, operation, onResult) })
        }
    }

    private fun onRead(read: RowRead, startedMs: Long) {
        onStoreHeard()
        when (read) {
            is RowRead.Absent -> Unit
            is RowRead.Unchanged -> provenAtMs = maxOf(provenAtMs, startedMs)
            is RowRead.Found -> takeDocument(read, startedMs)
        }
    }

    private fun takeDocument(found: RowRead.Found, startedMs: Long) {
        val document = format.parse(found.row.value).getOrElse { return log.warn("the stored configuration can't be read: ${it.message}") }
        if (document.version < replica.current.version) {
            return log.warn("the store answers version ${document.version}, older than ${replica.current.version} in force; it is ignored")
        }
        onOffer(replica.offer(document))
        if (document.version != replica.current.version) return
        storedRow = found.row.version
        provenAtMs = maxOf(provenAtMs, startedMs)
    }

    private fun onOffer(offer: ConfigOffer) {
        when (offer) {
            is ConfigOffer.Applied -> {
                log.info("version ${offer.version} in force")
                onChange()
            }
            is ConfigOffer.Invalid -> log.warn("a configuration is refused: ${offer.error.message}")
            is ConfigOffer.Stale, is ConfigOffer.Gap -> Unit
        }
    }

    private fun writeOver(
        read: RowRead,
        edits: List<ConfigEdit>,
        expected: Long?,
        operation: String,
        onResult: (WriteResult) -> Unit,
    ) {
        val rowVersion = (read as? RowRead.Found)?.row?.version ?: 0
        val base = baseOf(read).getOrElse { return onResult(WriteResult.Refused(it)) }
        val planned = planOver(base, edits, expected).getOrElse { return onResult(WriteResult.Refused(it)) }
        val document = planned.toDocument(operation, base.operations)
        put(document, rowVersion, operation, ATTEMPTS, onResult)
    }

    private fun baseOf(read: RowRead): Either<ConfigError, ConfigDocument> =
        if (read is RowRead.Found) format.parse(read.row.value) else ConfigDocument(0).right()

    private fun planOver(base: ConfigDocument, edits: List<ConfigEdit>, expected: Long?): Either<ConfigError, Configuration> {
        if (base.version < replica.current.version) return ConfigError.VersionConflict(replica.current.version, base.version).left()
        if (expected != null && expected != base.version) return ConfigError.VersionConflict(expected, base.version).left()
        return Configuration.of(base).fold({ it.left() }, { it.plan(edits) })
    }

    private fun put(
        document: ConfigDocument,
        rowVersion: Long,
        operation: String,
        attempts: Int,
        onResult: (WriteResult) -> Unit,
    ) {
        table.write(format.row, document.toJson(), rowVersion) { result ->
            result.fold(
                { error -> resolve(document, rowVersion, operation, attempts, error, onResult) },
                { written ->
                    when (written) {
                        is RowWrite.Written -> stored(document, onResult)
                        is RowWrite.Conflict -> resolve(document, rowVersion, operation, attempts, null, onResult)
                    }
                },
            )
        }
    }

    /** After a conflict or a lost answer, the stored document itself tells whether this operation took effect. */
    private fun resolve(
        document: ConfigDocument,
        rowVersion: Long,
        operation: String,
        attempts: Int,
        error: StoreError?,
        onResult: (WriteResult) -> Unit,
    ) {
        if (error is StoreError.Unavailable && attempts == ATTEMPTS) return onResult(WriteResult.NotStored(error))
        table.read(format.row, 0) { result ->
            val found = result.getOrNull() as? RowRead.Found
            val now = found?.let { format.parse(it.row.value).getOrNull() }
            when {
                now != null && now.operations.any { it.id == operation } -> stored(document, onResult)
                now != null && found.row.version != rowVersion -> onResult(conflict(document, now))
                attempts > 1 -> put(document, rowVersion, operation, attempts - 1, onResult)
                else -> onResult(WriteResult.Unknown(error ?: StoreError.InDoubt("no answer")))
            }
        }
    }

    private fun conflict(document: ConfigDocument, now: ConfigDocument) =
        WriteResult.Refused(ConfigError.VersionConflict(document.version - 1, now.version))

    private fun stored(document: ConfigDocument, onResult: (WriteResult) -> Unit) {
        onOffer(replica.offer(document))
        prove(document.version, clock.nowMs())
        onResult(WriteResult.Stored(document.version))
    }

    private companion object {
        const val ATTEMPTS = 5

        /** Longest wait of one watch, in milliseconds; also the time after which a silent connection is noticed. */
        const val WATCH_MS = 3_000L

        /** Pause after a failed call, in milliseconds, doubled at random so that daemons do not return together. */
        const val RETRY_MS = 250L
    }
}
