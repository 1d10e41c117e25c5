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
import wigeonreel.store.StoreVersion
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

    /** The change is invalid or conflicts with another version; it is not stored. */
    data class Refused(
        val error: ConfigError,
    ) : WriteResult

    /** The store is unavailable; the change is not stored. */
    data class NotStored(
        val error: StoreError,
    ) : WriteResult

    /** The store's answer was lost; the change may be stored. */
    data class Unknown(
        val error: StoreError,
    ) : WriteResult
}

/** Row of the table service with the configuration document. */
val CONFIG_ROW: RowName = RowName("config", "current")

/** Row of the configuration in the store and parser of its text. */
class ConfigFormat(
    val row: RowName,
    val parse: (String) -> Either<ConfigError, ConfigDocument>,
)

/** Row and format of the configuration that operators edit with `wigeonctl`. */
val DEFAULT_CONFIG_FORMAT: ConfigFormat = ConfigFormat(CONFIG_ROW, ::parseDocument)

/** Configuration of one daemon: a local replica, refreshed from the store, and writes to the store by compare-and-set. */
class ConfigRepository(
    private val table: TableService,
    private val clock: Clock,
    private val format: ConfigFormat = DEFAULT_CONFIG_FORMAT,
    private val onChange: () -> Unit,
) {
    private val log = Log("config")
    private var knownRowVersion: StoreVersion? = null
    private var watchFromVersion: StoreVersion? = null
    private var watching = false
    private var nextWatchMs = 0L
    private var storeUnavailable = false

    /** Local replica; its version never decreases. */
    val replica = ConfigReplica()

    /** Latest time at which the version in force is known to have been the stored version. */
    var provenAtMs = 0L
        private set

    /** Time of the last answer from the store. */
    var storeAnsweredAtMs = 0L
        private set

    /** Applies a delta or a complete document from another daemon if it is newer and continues the version in force. */
    fun offer(delta: wigeonreel.config.ConfigDelta): ConfigOffer = replica.offer(delta).also { onOffer(it) }

    /** Applies another daemon's proof that [version] was current at [atMs]; ignored unless it is the version in force. */
    fun prove(version: Long, atMs: Long) {
        if (version == replica.current.version) provenAtMs = maxOf(provenAtMs, minOf(atMs, clock.nowMs()))
    }

    /** Reads the configuration from the store once; [onRead] gets whether the store answered. */
    fun poll(onRead: (Boolean) -> Unit = {}) = read { onRead(it != null) }

    /** Starts a watch for changes in the store unless one is open or a retry is not due yet. Called periodically. */
    fun ensureWatching(nowMs: Long) {
        if (watching || nowMs < nextWatchMs) return
        watching = true
        watchFromVersion?.let { watch(it) } ?: read { onWatchEnded(it) }
    }

    private fun read(onVersion: (StoreVersion?) -> Unit) {
        val startedMs = clock.nowMs()
        table.read(format.row, knownRowVersion) { result ->
            result.fold({ onStoreUnavailable(it) }, { onRead(it, startedMs) })
            onVersion(result.getOrNull()?.storeVersion)
        }
    }

    private fun watch(fromVersion: StoreVersion) {
        val startedMs = clock.nowMs()
        table.watch(format.row.table, fromVersion, WATCH_TIMEOUT_MS) { result ->
            result.onLeft { onStoreUnavailable(it) }
            val changes = result.getOrNull() as? TableChanges.Available
            changes?.let { onChanges(it, startedMs) }
            onWatchEnded(changes?.version)
        }
    }

    /** Sets the [version] to watch from; null, after a failed call or a gap in the history, makes the next call read the row again. */
    private fun onWatchEnded(version: StoreVersion?) {
        watching = false
        watchFromVersion = version
        nextWatchMs = if (version == null) clock.nowMs() + RETRY_DELAY_MS + ThreadLocalRandom.current().nextLong(RETRY_DELAY_MS) else 0
    }

    private fun onChanges(changes: TableChanges.Available, startedMs: Long) {
        onStoreAnswered()
        provenAtMs = maxOf(provenAtMs, startedMs)
        changes.rows.lastOrNull { it.name == format.row }?.let { applyDocument(RowRead.Found(it), startedMs) }
    }

    private fun onStoreAnswered() {
        storeAnsweredAtMs = clock.nowMs()
        if (storeUnavailable) log.info("store available again")
        storeUnavailable = false
    }

    private fun onStoreUnavailable(error: StoreError) {
        if (!storeUnavailable) log.warn("store unavailable: ${error.message}")
        storeUnavailable = true
    }

    /**
     * Applies [edits] to the stored version and stores the result as the next version.
     *
     * Refused if the stored version differs from a non-null [expectedVersion] or is older than the version in force.
     */
    fun write(edits: List<ConfigEdit>, expectedVersion: Long?, onResult: (WriteResult) -> Unit) {
        val operation = UUID.randomUUID().toString()
        table.read(format.row, null) { result ->
            result.fold({ onResult(WriteResult.NotStored(it)) }, { writeOver(it, edits, expectedVersion, operation, onResult) })
        }
    }

    private fun onRead(read: RowRead, startedMs: Long) {
        onStoreAnswered()
        when (read) {
            is RowRead.Absent -> Unit
            is RowRead.Unchanged -> provenAtMs = maxOf(provenAtMs, startedMs)
            is RowRead.Found -> applyDocument(read, startedMs)
        }
    }

    private fun applyDocument(found: RowRead.Found, startedMs: Long) {
        val document = format.parse(found.row.value).getOrElse { return log.warn("stored configuration is invalid: ${it.message}") }
        if (document.version < replica.current.version) {
            return log.warn("stored configuration ignored: version ${document.version} is older than ${replica.current.version} in force")
        }
        onOffer(replica.offer(document))
        if (document.version != replica.current.version) return
        knownRowVersion = found.row.version
        provenAtMs = maxOf(provenAtMs, startedMs)
    }

    private fun onOffer(offer: ConfigOffer) {
        when (offer) {
            is ConfigOffer.Applied -> {
                log.info("configuration version ${offer.version} applied")
                onChange()
            }
            is ConfigOffer.Invalid -> log.warn("invalid configuration rejected: ${offer.error.message}")
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
        val rowVersion = (read as? RowRead.Found)?.row?.version ?: StoreVersion.ABSENT
        val base = baseOf(read).getOrElse { return onResult(WriteResult.Refused(it)) }
        val planned = planOver(base, edits, expected).getOrElse { return onResult(WriteResult.Refused(it)) }
        val document = planned.toDocument(operation, base.operations)
        put(document, rowVersion, operation, MAX_WRITE_ATTEMPTS, onResult)
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
        rowVersion: StoreVersion,
        operation: String,
        attemptsLeft: Int,
        onResult: (WriteResult) -> Unit,
    ) {
        table.write(format.row, document.toJson(), rowVersion) { result ->
            result.fold(
                { error -> resolve(document, rowVersion, operation, attemptsLeft, error, onResult) },
                { written ->
                    when (written) {
                        is RowWrite.Written -> onStored(document, onResult)
                        is RowWrite.Conflict -> resolve(document, rowVersion, operation, attemptsLeft, null, onResult)
                    }
                },
            )
        }
    }

    /** Reads the stored document after a conflict or a lost answer to see whether [operation] took effect; if not, retries it. */
    private fun resolve(
        document: ConfigDocument,
        rowVersion: StoreVersion,
        operation: String,
        attemptsLeft: Int,
        error: StoreError?,
        onResult: (WriteResult) -> Unit,
    ) {
        if (error is StoreError.Unavailable && attemptsLeft == MAX_WRITE_ATTEMPTS) return onResult(WriteResult.NotStored(error))
        table.read(format.row, null) { result ->
            val found = result.getOrNull() as? RowRead.Found
            val stored = found?.let { format.parse(it.row.value).getOrNull() }
            when {
                stored != null && stored.operations.any { it.id == operation } -> onStored(document, onResult)
                stored != null && !found.row.version.isSameAs(rowVersion) -> onResult(conflict(document, stored))
                attemptsLeft > 1 -> put(document, rowVersion, operation, attemptsLeft - 1, onResult)
                else -> onResult(WriteResult.Unknown(error ?: StoreError.InDoubt("no answer")))
            }
        }
    }

    private fun conflict(document: ConfigDocument, stored: ConfigDocument) =
        WriteResult.Refused(ConfigError.VersionConflict(document.version - 1, stored.version))

    private fun onStored(document: ConfigDocument, onResult: (WriteResult) -> Unit) {
        onOffer(replica.offer(document))
        prove(document.version, clock.nowMs())
        onResult(WriteResult.Stored(document.version))
    }

    private companion object {
        const val MAX_WRITE_ATTEMPTS = 5

        /** Maximum duration of one watch; a broken connection is detected within this time. */
        const val WATCH_TIMEOUT_MS = 3_000L

        /** Delay after a failed call; a random delay of up to the same length is added to keep daemons from reconnecting at once. */
        const val RETRY_DELAY_MS = 250L
    }
}
