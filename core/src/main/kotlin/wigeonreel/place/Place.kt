package wigeonreel.place

/** Location of a VM, read from the settings of the process that runs on it. */
data class Place(
    val region: String,
    val failureDomain: String,
) {
    /** Returns how far [other] is, as the order in which routing prefers servers. */
    fun distanceTo(other: Place): Distance =
        when {
            region != other.region -> Distance.OTHER_REGION
            failureDomain != other.failureDomain -> Distance.SAME_REGION
            else -> Distance.SAME_FAILURE_DOMAIN
        }
}
