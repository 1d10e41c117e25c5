package wigeonreel.store

import arrow.core.Either

/** Name of a row in the platform's table service. */
data class RowName(
    val table: String,
    val row: String,
)

/** Row as read from the store; each write increases its [version] unless the store is restored. */
data class Row(
    val name: RowName,
    val version: StoreVersion,
    val value: String,
)

/** Result of a row read. */
sealed interface RowRead {
    /** Latest version of the whole store at the time of the read, from which a watch can continue. */
    val storeVersion: StoreVersion

    /** The row exists. */
    data class Found(
        val row: Row,
        override val storeVersion: StoreVersion = row.version,
    ) : RowRead

    /** The row still has the version that the reader passed. */
    data class Unchanged(
        override val storeVersion: StoreVersion,
    ) : RowRead

    /** The row does not exist. */
    data class Absent(
        override val storeVersion: StoreVersion,
    ) : RowRead
}

/** Result of a conditional write. */
sealed interface RowWrite {
    /** The write took effect. */
    data class Written(
        val version: StoreVersion,
    ) : RowWrite

    /** The row has [version] instead of the expected version, or null if it was not asked for; nothing was written. */
    data class Conflict(
        val version: StoreVersion?,
    ) : RowWrite
}

/** Failure of the table service; [message] includes the remedy. */
sealed interface StoreError {
    val message: String

    /** The request was not executed. */
    data class Unavailable(
        val reason: String,
    ) : StoreError {
        override val message get() = "the table service can't be reached ($reason); traffic goes on, repeat the change later"
    }

    /** The answer was lost, so a write may have taken effect. */
    data class InDoubt(
        val reason: String,
    ) : StoreError {
        override val message get() = "the table service's answer was lost ($reason); read the row to see whether the write took effect"
    }

    /** The answer can't be parsed. */
    data class Malformed(
        val found: String,
    ) : StoreError {
        override val message get() = "the table service answered what can't be read ($found); check platform.table_address"
    }
}

/**
 * Part of a table in the order of its rows' names; rows that can't be read are left out.
 *
 * @param next name after which the next page begins, or null if this is the last one.
 */
data class TablePage(
    val rows: List<Row>,
    val next: String?,
)

/** Changes of one table in write order. */
sealed interface TableChanges {
    /** The changes up to [version]; [rows] contains the written rows and omits removed rows. */
    data class Available(
        val rows: List<Row>,
        val version: StoreVersion,
    ) : TableChanges

    /** The history after the requested version is no longer kept, or the store was restored; the caller must read the rows instead. */
    data object Forgotten : TableChanges
}

/** Transactional table service of the platform. Callbacks run on the caller's event loop. */
interface TableService {
    /** Eras of the store, in which its versions can be compared. */
    val eras: StoreEras

    /** Reads a row, or returns [RowRead.Unchanged] if it still has [knownVersion]; null reads it in any case. */
    fun read(name: RowName, knownVersion: StoreVersion?, onResult: (Either<StoreError, RowRead>) -> Unit)

    /**
     * Writes a row if its version is [expectedVersion]; [StoreVersion.ABSENT] requires an absent row and null accepts any version.
     *
     * If the store was restored since [expectedVersion] was read, the result is a [RowWrite.Conflict], or a [StoreError.InDoubt] if
     * only the answer to the write shows it.
     */
    fun write(name: RowName, value: String, expectedVersion: StoreVersion?, onResult: (Either<StoreError, RowWrite>) -> Unit)

    /** Deletes a row regardless of its version. */
    fun delete(name: RowName, onResult: (Either<StoreError, Unit>) -> Unit)

    /** Reads up to [limit] rows of [table] with names after [after]. */
    fun scan(table: String, after: String, limit: Int, onResult: (Either<StoreError, TablePage>) -> Unit)

    /** Waits up to [waitMs] milliseconds for changes of [table] after [version]; returns no rows if there are none. */
    fun watch(table: String, version: StoreVersion, waitMs: Long, onResult: (Either<StoreError, TableChanges>) -> Unit)
}
