package wigeonreel.membership

import wigeonreel.config.ConfigDelta

/** Datagram kinds of the membership protocol. */
enum class GossipKind { PING, ACK, PING_REQUEST, NEWS, SYNC }

/** Proof that [version] was the stored version of the configuration at [provenAtMs]. */
data class ConfigProof(
    val version: Long,
    val provenAtMs: Long,
)

/**
 * One datagram of the membership protocol.
 *
 * @param target daemon to probe on behalf of the sender, in a [GossipKind.PING_REQUEST] and the [GossipKind.ACK] to it.
 * @param storeEra latest era of the store that the sender knows, or null; tells daemons that don't call the store of a restore.
 * @param digest hash of the sender's view, which lets two daemons detect that their views differ.
 * @param bucketDigests hash of each bucket of the sender's view, in a [GossipKind.SYNC]; the receiver sends its members of the
 *   buckets that differ.
 */
data class GossipMessage(
    val kind: GossipKind,
    val sequence: Long,
    val sender: Member,
    val target: String = "",
    val updates: List<Member> = emptyList(),
    val proof: ConfigProof = ConfigProof(0, 0),
    val config: ConfigDelta? = null,
    val storeEra: Long? = null,
    val digest: Long = 0,
    val bucketDigests: List<Long> = emptyList(),
)

/** Datagram to send to the address [to]. */
data class OutgoingDatagram(
    val to: PeerAddress,
    val message: GossipMessage,
)
