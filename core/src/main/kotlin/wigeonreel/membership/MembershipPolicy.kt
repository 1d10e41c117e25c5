package wigeonreel.membership

/**
 * Intervals and sizes of the membership protocol; times in milliseconds.
 *
 * @param probeMs time between two probes by one daemon.
 * @param ackMs time to wait for a direct answer before other daemons are asked to probe.
 * @param suspectMs time for which a suspected daemon may refute.
 * @param newsMs time between two sends of news.
 * @param newsFanout daemons that each send of news goes to.
 * @param indirectProbes daemons that are asked to probe one that does not answer.
 * @param bridges daemons of each region that exchange news with the other regions.
 * @param syncMs least time between two comparisons of whole views.
 * @param updatesPerMessage members in one datagram.
 * @param forgetMs time for which a dead or departed member is remembered.
 */
data class MembershipPolicy(
    val probeMs: Long = 1_000,
    val ackMs: Long = 300,
    val suspectMs: Long = 4_000,
    val newsMs: Long = 200,
    val newsFanout: Int = 2,
    val indirectProbes: Int = 3,
    val bridges: Int = 2,
    val syncMs: Long = 5_000,
    val updatesPerMessage: Int = 10,
    val forgetMs: Long = 600_000,
)
