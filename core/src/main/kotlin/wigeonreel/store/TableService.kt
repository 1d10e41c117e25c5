package wigeonreel.store

import arrow.core.Either

/** Row of the platform's table service. */
data class RowName(
    val table: String,
    val row: String,
)

/** Row as read, with its [version], which each write raises. */
data class Row(
    val name: RowName,
    val version: Long,
    val value: String,
)

/** Result of reading a row. */
sealed interface RowRead {
    /** Newest version of the whole store at the moment of the read, from which a watch can go on. */
    val storeVersion: Long

    /** The row as stored. */
    data class Found(
        val row: Row,
        override val storeVersion: Long = row.version,
    ) : RowRead

    /** The row still has the version that the reader knows. */
    data class Unchanged(
        override val storeVersion: Long,
    ) : RowRead

    /** There is no such row. */
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

    /** The row has another version than the writer expected; nothing was written. */
    data class Conflict(
        val version: Long,
    ) : RowWrite
}

/** Failure of the table service; the message names the remedy. */
sealed interface StoreError {
    val message: String

    /** The request was not carried out. */
    data class Unavailable(
        val reason: String,
    ) : StoreError {
        override val message get() = "the table service can't be reached ($reason); traffic goes on, repeat the change later"
    }

    /** The answer was lost; a write may have taken effect. */
    data class InDoubt(
        val reason: String,
    ) : StoreError {
        override val message get() = "the table service's answer was lost ($reason); read the row to see whether the write took effect"
    }

    /** The answer can't be read. */
    data class Malformed(
        val found: String,
    ) : StoreError {
        override val message get() = "the table service answered what can't be read ($found); check platform.table_address"
    }
}

/** Changes of one table in the order in which they were made. */
sealed interface TableChanges {
    /** Changes up to [version]; [rows] holds the rows that were written, removed rows are left out. */
    data class Seen(
        val rows: List<Row>,
        val version: Long,
    ) : TableChanges

    /** The history after the asked version is no longer kept; read the rows instead. */
    data object Forgotten : TableChanges
}

/** The platform's transactional table service. Callbacks come on the caller's event loop. */
interface TableService {
    /** Reads a row, unless it still has [knownVersion]. */
    fun read(name: RowName, knownVersion: Long, onResult: (Either<StoreError, RowRead>) -> Unit)

    /** Writes a row if it has [expectedVersion]; 0 means that it must be absent, null that any version will do. */
    fun write(name: RowName, value: String, expectedVersion: Long?, onResult: (Either<StoreError, RowWrite>) -> Unit)

    /** Deletes a row. */
    fun delete(name: RowName, onResult: (Either<StoreError, Unit>) -> Unit)

    /** Reads up to [limit] rows of [table] whose names follow [after]. */
    fun scan(table: String, after: String, limit: Int, onResult: (Either<StoreError, List<Row>>) -> Unit)

    /** Waits up to [waitMs] for changes of [table] after [version]; answers with no rows when there were none. */
    fun watch(table: String, version: Long, waitMs: Long, onResult: (Either<StoreError, TableChanges>) -> Unit)
}
