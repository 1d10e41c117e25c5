package wigeonreel.membership

import wigeonreel.config.ConfigDelta

/** Kinds of datagram of the membership protocol. */
enum class GossipKind { PING, ACK, PING_REQUEST, NEWS, SYNC }

/** Word that [version] of the configuration was the stored one at [provenAtMs]. */
data class ConfigProof(
    val version: Long,
    val provenAtMs: Long,
)

/**
 * One datagram of the membership protocol.
 *
 * @param target daemon to be probed on behalf of the sender, in a [GossipKind.PING_REQUEST] and its answer.
 * @param digest hash over the sender's view, by which two daemons notice that their views differ.
 * @param bucketDigests on a [GossipKind.SYNC]: one hash for each part of the sender's view; the receiver sends the parts that differ.
 */
data class GossipMessage(
    val kind: GossipKind,
    val sequence: Long,
    val sender: Member,
    val target: String = "",
    val updates: List<Member> = emptyList(),
    val proof: ConfigProof = ConfigProof(0, 0),
    val config: ConfigDelta? = null,
    val digest: Long = 0,
    val bucketDigests: List<Long> = emptyList(),
)

/** Datagram and where it goes. */
data class Outgoing(
    val to: PeerAddress,
    val message: GossipMessage,
)
