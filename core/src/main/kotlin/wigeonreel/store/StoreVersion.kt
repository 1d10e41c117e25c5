package wigeonreel.store

/**
 * Version of a row or of the whole store.
 *
 * A store that is restored from a copy loses its latest versions, assigns their numbers again and begins a new [era]. So numbers can
 * be compared within one era only; a number of an earlier one may now belong to another value.
 *
 * @param era era of the store in which the version was assigned, [NO_ERA] if the store announces none, or null if it can't be read.
 */
data class StoreVersion(
    val number: Long,
    val era: Long?,
) {
    /** Returns whether this version and [other] can be compared; one whose era can't be read never can. */
    fun isComparableTo(other: StoreVersion): Boolean = era != null && era == other.era

    /** Returns whether the condition that a row has this version still means the same in [era]. */
    fun appliesIn(era: Long?): Boolean = this == ABSENT || isComparableTo(StoreVersion(number, era))

    /** Returns whether what has this version is unchanged since it had the version [other]. */
    fun isSameAs(other: StoreVersion): Boolean = isComparableTo(other) && number == other.number

    companion object {
        /** Era of a store that announces none. */
        const val NO_ERA: Long = -1

        /** Version of a row that does not exist, in every era. */
        val ABSENT: StoreVersion = StoreVersion(0, NO_ERA)
    }
}
