package wigeonreel.place

/** Location of a VM, as configured in the settings of the process that runs on it. */
data class Place(
    val region: String,
    val failureDomain: String,
) {
    /** Returns the network distance to [other]; routing prefers servers at a smaller distance. */
    fun distanceTo(other: Place): Distance =
        when {
            region != other.region -> Distance.OTHER_REGION
            failureDomain != other.failureDomain -> Distance.SAME_REGION
            else -> Distance.SAME_FAILURE_DOMAIN
        }
}
