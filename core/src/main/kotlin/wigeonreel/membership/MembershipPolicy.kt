package wigeonreel.membership

/**
 * Intervals and sizes of the membership protocol; times in milliseconds.
 *
 * @param probeIntervalMs time between two probes by one daemon.
 * @param ackTimeoutMs timeout of a direct probe, after which other daemons are asked to probe the target.
 * @param suspicionTimeoutMs time that a suspected daemon has to refute the suspicion before it is declared dead.
 * @param gossipIntervalMs time between two rounds of gossip.
 * @param gossipFanout number of daemons to which each round of gossip is sent.
 * @param indirectProbes number of daemons that are asked to probe a daemon that does not answer.
 * @param bridgesPerRegion number of daemons in each region that exchange updates with the other regions.
 * @param minSyncIntervalMs minimum time between two comparisons of whole views.
 * @param updatesPerMessage maximum number of member updates in one datagram.
 * @param retentionMs time for which a dead or departed member stays in the view.
 */
data class MembershipPolicy(
    val probeIntervalMs: Long = 1_000,
    val ackTimeoutMs: Long = 300,
    val suspicionTimeoutMs: Long = 4_000,
    val gossipIntervalMs: Long = 200,
    val gossipFanout: Int = 2,
    val indirectProbes: Int = 3,
    val bridgesPerRegion: Int = 2,
    val minSyncIntervalMs: Long = 5_000,
    val updatesPerMessage: Int = 10,
    val retentionMs: Long = 600_000,
)
