package wigeonreel.bench

import wigeonreel.config.Worth

/** Overload control used in a run: wigeonreel itself or a baseline for comparison. */
internal enum class Control { WIGEONREEL, NONE, FIXED_LIMIT }

/**
 * Client account of a workload.
 *
 * @param share share of the demand.
 * @param factor factor by which the account sends more than its share while disturbed.
 */
internal data class CaseAccount(
    val name: String,
    val share: Double,
    val factor: Double = 1.0,
)

/**
 * Overload case; the disturbance lasts from [DISTURBED_FROM_MS] to [DISTURBED_TO_MS].
 *
 * @param demand offered load while disturbed, as a multiple of the capacity of the service with the least capacity.
 * @param deepestSlowFactor factor applied to the service time of the deepest service while disturbed.
 * @param greedyFactor factor applied to the demand of the first account while disturbed.
 * @param callerRetries number of immediate retries of a request that was refused or timed out.
 * @param lostDomain whether one failure domain is down while disturbed.
 */
internal data class OverloadCase(
    val name: String,
    val demand: Double,
    val deepestSlowFactor: Double = 1.0,
    val greedyFactor: Double = 1.0,
    val callerRetries: Int = 0,
    val lostDomain: Boolean = false,
) {
    /** Two large and six small accounts; only the first may exceed its share. */
    val accounts: List<CaseAccount>
        get() = ACCOUNT_SHARES.mapIndexed { i, share -> CaseAccount("a$i", share, if (i == 0) greedyFactor else 1.0) }

    companion object {
        /** Start of the disturbance, in milliseconds of virtual time after the start. */
        const val DISTURBED_FROM_MS = 5_000L

        /** End of the disturbance, in milliseconds of virtual time after the start. */
        const val DISTURBED_TO_MS = 12_000L

        /** End of the run, in milliseconds of virtual time after the start. */
        const val END_MS = 18_000L

        private val ACCOUNT_SHARES = listOf(0.25, 0.25, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05)

        /** Share of the demand in each worth class. */
        val WORTH_SHARES = listOf(Worth.CRITICAL to 0.1, Worth.IMPORTANT to 0.2, Worth.NORMAL to 0.5, Worth.BACKGROUND to 0.2)

        /** All cases of the benchmark. */
        val ALL =
            listOf(
                OverloadCase("1x", 0.9),
                OverloadCase("2x", 2.0),
                OverloadCase("5x", 5.0),
                OverloadCase("10x", 10.0),
                OverloadCase("deep service slows to a third", 0.9, deepestSlowFactor = 3.0),
                OverloadCase("one account at 8 times its rate", 0.8, greedyFactor = 8.0),
                OverloadCase("callers retry 5 times at once", 2.0, callerRetries = 5),
                OverloadCase("a failure domain is lost", 0.9, lostDomain = true),
            )
    }
}
