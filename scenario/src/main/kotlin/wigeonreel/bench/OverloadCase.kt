package wigeonreel.bench

import wigeonreel.config.Worth

/** Control that a run uses: the product's, or a baseline to hold it against. */
internal enum class Control { WIGEONREEL, NONE, FIXED_LIMIT }

/** Client account of a workload: its part of the demand, and the factor by which it sends more than its part. */
internal data class CaseAccount(
    val name: String,
    val part: Double,
    val factor: Double = 1.0,
)

/**
 * One overload case; the disturbance lasts from [DISTURBED_FROM_MS] to [DISTURBED_TO_MS].
 *
 * @param demand offered calls against the capacity of the narrowest service, while disturbed.
 * @param deepSlow factor on the service time of the deepest service while disturbed.
 * @param callerRetries times that a refused or late caller tries again at once.
 * @param lostDomain whether one failure domain is gone while disturbed.
 */
internal data class OverloadCase(
    val name: String,
    val demand: Double,
    val deepSlow: Double = 1.0,
    val greedyFactor: Double = 1.0,
    val callerRetries: Int = 0,
    val lostDomain: Boolean = false,
) {
    /** Accounts: two large ones and six small ones, the first of which may be greedy. */
    val accounts: List<CaseAccount> get() = PARTS.mapIndexed { i, part -> CaseAccount("a$i", part, if (i == 0) greedyFactor else 1.0) }

    companion object {
        /** Start of the disturbance, in milliseconds of virtual time after the start. */
        const val DISTURBED_FROM_MS = 5_000L

        /** End of the disturbance. */
        const val DISTURBED_TO_MS = 12_000L

        /** End of the run. */
        const val END_MS = 18_000L

        private val PARTS = listOf(0.25, 0.25, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05)

        /** Worth classes of the demand and the part of each. */
        val CLASSES = listOf(Worth.CRITICAL to 0.1, Worth.IMPORTANT to 0.2, Worth.NORMAL to 0.5, Worth.BACKGROUND to 0.2)

        /** All cases of one run of the benchmark. */
        val ALL =
            listOf(
                OverloadCase("1x", 0.9),
                OverloadCase("2x", 2.0),
                OverloadCase("5x", 5.0),
                OverloadCase("10x", 10.0),
                OverloadCase("deep service slows to a third", 0.9, deepSlow = 3.0),
                OverloadCase("one account at 8 times its rate", 0.8, greedyFactor = 8.0),
                OverloadCase("callers retry 5 times at once", 2.0, callerRetries = 5),
                OverloadCase("a failure domain is lost", 0.9, lostDomain = true),
            )
    }
}
