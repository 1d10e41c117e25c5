package wigeonreel.store

import arrow.core.Either

/** Name of a row in the platform's table service. */
data class RowName(
    val table: String,
    val row: String,
)

/** Row as read from the store; each write increases its [version]. */
data class Row(
    val name: RowName,
    val version: Long,
    val value: String,
)

/** Result of a row read. */
sealed interface RowRead {
    /** Latest version of the whole store at the time of the read, from which a watch can continue. */
    val storeVersion: Long

    /** The row exists. */
    data class Found(
        val row: Row,
        override val storeVersion: Long = row.version,
    ) : RowRead

    /** The row still has the version that the reader passed. */
    data class Unchanged(
        override val storeVersion: Long,
    ) : RowRead

    /** The row does not exist. */
    data class Absent(
        override val storeVersion: Long,
    ) : RowRead
}

/** Result of a conditional write. */
sealed interface RowWrite {
    /** The write took effect. */
    data class Written(
        val version: Long,
    ) : RowWrite

    /** The row has [version] instead of the expected version; nothing was written. */
    data class Conflict(
        val version: Long,
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
        val version: Long,
    ) : TableChanges

    /** The history after the requested version is no longer kept; the caller must read the rows instead. */
    data object Forgotten : TableChanges
}

/** Transactional table service of the platform. Callbacks run on the caller's event loop. */
interface TableService {
    /** Reads a row, or returns [RowRead.Unchanged] if it still has [knownVersion]. */
    fun read(name: RowName, knownVersion: Long, onResult: (Either<StoreError, RowRead>) -> Unit)

    /** Writes a row if its version is [expectedVersion]; 0 requires an absent row and null accepts any version. */
    fun write(name: RowName, value: String, expectedVersion: Long?, onResult: (Either<StoreError, RowWrite>) -> Unit)

    /** Deletes a row regardless of its version. */
    fun delete(name: RowName, onResult: (Either<StoreError, Unit>) -> Unit)

    /** Reads up to [limit] rows of [table] with names after [after]. */
    fun scan(table: String, after: String, limit: Int, onResult: (Either<StoreError, TablePage>) -> Unit)

    /** Waits up to [waitMs] milliseconds for changes of [table] after [version]; returns no rows if there are none. */
    fun watch(table: String, version: Long, waitMs: Long, onResult: (Either<StoreError, TableChanges>) -> Unit)
}
