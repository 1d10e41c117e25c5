package wigeonreel.membership

import com.google.common.hash.Hashing
import wigeonreel.config.ConfigDelta
import kotlin.math.ceil
import kotlin.math.log2
import kotlin.random.Random

/**
 * Membership protocol of one daemon: probes, suspicion and gossip within a region, and bridge daemons between regions.
 *
 * The cost for each daemon does not grow with the fleet: it sends one probe in each interval, gossips updates in datagrams of
 * bounded size and compares whole views by digest. This class uses no sockets or clocks: the caller sends the returned
 * datagrams and passes the current time.
 *
 * @param self this daemon, with a new incarnation at each start.
 */
class Membership(
    self: Member,
    private val policy: MembershipPolicy,
    private val random: Random,
) {
    private class Probe(
        val target: String,
        val sequence: Long,
        val sentAtMs: Long,
        var indirect: Boolean,
    )

    private class Relay(
        val requester: PeerAddress,
        val sequence: Long,
        val target: String,
        val expiresAtMs: Long,
    )

    /** This daemon's view of the fleet, including itself. */
    val view = MemberView()

    /** Number of changes of [view], with which a caller detects changes without a comparison. */
    var changeCount: Long = 0
        private set

    /** Time of the last datagram from a peer, or null if none was received. */
    var lastReceivedAtMs: Long? = null
        private set

    /** This daemon as it announces itself to its peers. */
    var self: Member = self
        private set

    private val queue = UpdateQueue()
    private val suspectedAtMs = HashMap<String, Long>()
    private val departedAtMs = HashMap<String, Long>()
    private val relays = ArrayDeque<Relay>()
    private var probe: Probe? = null
    private var probeOrder = ArrayDeque<String>()
    private var sequence = 0L
    private var nextProbeMs = 0L
    private var nextGossipMs = 0L
    private var nextSyncMs = 0L
    private var attachment = GossipAttachment()
    private var attachmentSends = 0

    init {
        view.put(self)
        queue.add(self.id)
    }

    /** Sets the attachment of outgoing datagrams; a newer configuration version or store era is pushed from the next gossip round on. */
    fun updateAttachment(next: GossipAttachment) {
        val eraBefore = attachment.storeEra
        val isRestored = eraBefore != null && next.storeEra != eraBefore
        if (isRestored || next.proof.version > attachment.proof.version) attachmentSends = maxSends()
        attachment = next
    }

    /** Merges members from another source, such as announcements in the store. */
    fun seed(members: List<Member>, nowMs: Long) = members.forEach { merge(it, nowMs) }

    /** Updates the announced server and state of this daemon. */
    fun announce(server: ServerInfo?, state: MemberState) {
        if (server == self.server && state == self.state) return
        updateSelf(self.copy(server = server, state = state, revision = self.revision + 1))
    }

    /** Runs the timers that are due at [nowMs]; must be called several times in each gossip interval. */
    fun tick(nowMs: Long): List<OutgoingDatagram> =
        buildList {
            escalateProbe(nowMs)?.let { addAll(it) }
            expire(nowMs)
            if (nowMs >= nextProbeMs) addAll(startProbe(nowMs))
            if (nowMs >= nextGossipMs) addAll(sendGossip(nowMs))
        }

    /** Handles a datagram received [from] a peer and returns the answers. */
    fun onMessage(message: GossipMessage, from: PeerAddress, nowMs: Long): List<OutgoingDatagram> {
        lastReceivedAtMs = nowMs
        merge(message.sender, nowMs)
        message.updates.forEach { merge(it, nowMs) }
        return when (message.kind) {
            GossipKind.PING ->
                listOf(OutgoingDatagram(from, message(GossipKind.ACK, message.sequence))) + syncIfDiffers(message, from, nowMs)
            GossipKind.ACK -> onAck(message, nowMs) + syncIfDiffers(message, from, nowMs)
            GossipKind.PING_REQUEST -> relayProbe(message, from, nowMs)
            GossipKind.NEWS -> emptyList()
            GossipKind.SYNC -> answerSync(message, from)
        }
    }

    /** Suspects the daemon [id] of this region after it did not answer a request. */
    fun onUnreachable(id: String, nowMs: Long) {
        val member = view[id] ?: return
        if (member.place.region == self.place.region && member.state == MemberState.ALIVE) suspect(member, nowMs)
    }

    private fun startProbe(nowMs: Long): List<OutgoingDatagram> {
        nextProbeMs = nowMs + policy.probeIntervalMs
        val outgoing = mutableListOf<OutgoingDatagram>()
        nextProbeTarget()?.let { target ->
            val started = Probe(target.id, ++sequence, nowMs, indirect = false)
            probe = started
            outgoing += OutgoingDatagram(target.address, message(GossipKind.PING, started.sequence))
        }
        if (isBridge()) remotePeer()?.let { outgoing += OutgoingDatagram(it.address, message(GossipKind.PING, ++sequence)) }
        departedPeer()?.let { outgoing += OutgoingDatagram(it.address, message(GossipKind.PING, ++sequence)) }
        return outgoing
    }

    private fun escalateProbe(nowMs: Long): List<OutgoingDatagram>? {
        val pending = probe ?: return null
        val target = view[pending.target]
        if (target == null || !target.live) {
            probe = null
            return null
        }
        val waitedMs = nowMs - pending.sentAtMs
        if (!pending.indirect && waitedMs >= policy.ackTimeoutMs) {
            pending.indirect = true
            return peers().filter { it.id != target.id }.shuffled(random).take(policy.indirectProbes).map {
                OutgoingDatagram(it.address, message(GossipKind.PING_REQUEST, pending.sequence).copy(target = target.id))
            }
        }
        if (waitedMs >= policy.probeIntervalMs - policy.gossipIntervalMs) {
            probe = null
            if (target.state == MemberState.ALIVE || target.state == MemberState.LEAVING) suspect(target, nowMs)
        }
        return null
    }

    private fun relayProbe(message: GossipMessage, from: PeerAddress, nowMs: Long): List<OutgoingDatagram> {
        val target = view[message.target] ?: return emptyList()
        val ping = message(GossipKind.PING, ++sequence)
        relays.addLast(Relay(from, message.sequence, target.id, nowMs + policy.probeIntervalMs))
        return listOf(OutgoingDatagram(target.address, ping))
    }

    private fun onAck(message: GossipMessage, nowMs: Long): List<OutgoingDatagram> {
        val answered = message.target.ifEmpty { message.sender.id }
        if (probe?.target == answered) probe = null
        if (message.target.isEmpty()) clearSuspicion(message.sender.id)
        val answeredRelays = relays.filter { it.target == message.sender.id && it.expiresAtMs > nowMs }
        relays.removeIf { it.target == message.sender.id || it.expiresAtMs <= nowMs }
        return answeredRelays.map { OutgoingDatagram(it.requester, message(GossipKind.ACK, it.sequence).copy(target = it.target)) }
    }

    private fun sendGossip(nowMs: Long): List<OutgoingDatagram> {
        nextGossipMs = nowMs + policy.gossipIntervalMs
        if (queue.size == 0 && attachmentSends <= 0) return emptyList()
        attachmentSends -= policy.gossipFanout
        val targets = peers().sample(policy.gossipFanout).toMutableList()
        if (isBridge()) remotePeer()?.let { targets += it }
        return targets.map { OutgoingDatagram(it.address, message(GossipKind.NEWS, ++sequence)) }
    }

    private fun syncIfDiffers(message: GossipMessage, from: PeerAddress, nowMs: Long): List<OutgoingDatagram> {
        if (message.digest == view.digest || nowMs < nextSyncMs) return emptyList()
        nextSyncMs = nowMs + policy.minSyncIntervalMs
        return listOf(OutgoingDatagram(from, message(GossipKind.SYNC, ++sequence).copy(bucketDigests = view.bucketDigests)))
    }

    private fun answerSync(message: GossipMessage, from: PeerAddress): List<OutgoingDatagram> {
        if (message.bucketDigests.isEmpty()) return emptyList()
        val pages = view.membersInDifferingBuckets(message.bucketDigests).chunked(policy.updatesPerMessage)
        return pages.map { OutgoingDatagram(from, bareMessage(GossipKind.SYNC, ++sequence).copy(updates = it)) }
    }

    private fun merge(member: Member, nowMs: Long) {
        if (member.id == self.id) return refuteIfNeeded(member)
        val known = view[member.id]
        if (known != null && !member.supersedes(known)) return
        if (known == null && !member.live) return
        view.put(member)
        queue.add(member.id)
        changeCount++
        recordStateTime(member, nowMs)
    }

    private fun recordStateTime(member: Member, nowMs: Long) {
        if (member.state == MemberState.SUSPECT) suspectedAtMs.getOrPut(member.id) { nowMs } else suspectedAtMs.remove(member.id)
        if (member.live) departedAtMs.remove(member.id) else departedAtMs[member.id] = nowMs
    }

    private fun refuteIfNeeded(claim: Member) {
        if (claim.incarnation < self.incarnation || !claim.supersedes(self)) return
        val needsNewIncarnation =
            claim.incarnation > self.incarnation ||
                (claim.state == MemberState.LEFT && self.state != MemberState.LEFT) ||
                claim.revision == Int.MAX_VALUE
        val revision = if (needsNewIncarnation) 0 else claim.revision + 1
        updateSelf(self.copy(incarnation = claim.incarnation + (if (needsNewIncarnation) 1 else 0), revision = revision))
    }

    private fun updateSelf(next: Member) {
        self = next
        view.put(next)
        queue.add(next.id)
        changeCount++
    }

    private fun suspect(member: Member, nowMs: Long) = merge(member.copy(state = MemberState.SUSPECT), nowMs)

    /** Cancels the suspicion timeout of a daemon that answered a probe; only its own refutation clears the suspicion for other daemons. */
    private fun clearSuspicion(id: String) {
        if (suspectedAtMs.remove(id) == null) return
        val member = view[id] ?: return
        if (member.state == MemberState.SUSPECT) queue.add(id)
    }

    private fun expire(nowMs: Long) {
        val expired = suspectedAtMs.filterValues { nowMs - it >= policy.suspicionTimeoutMs }.keys.toList()
        for (id in expired) {
            suspectedAtMs.remove(id)
            val member = view[id] ?: continue
            if (member.state == MemberState.SUSPECT) merge(member.copy(state = MemberState.DEAD), nowMs)
        }
        val expiredDepartures = departedAtMs.filterValues { nowMs - it >= policy.retentionMs }.keys.toList()
        expiredDepartures.forEach {
            departedAtMs.remove(it)
            view.remove(it)
        }
    }

    private fun message(kind: GossipKind, sequence: Long): GossipMessage {
        val updates = queue.take(policy.updatesPerMessage, maxSends()).mapNotNull { view[it] }.filter { it.id != self.id }
        return bareMessage(kind, sequence).copy(updates = updates)
    }

    private fun bareMessage(kind: GossipKind, sequence: Long) =
        GossipMessage(
            kind = kind,
            sequence = sequence,
            sender = self,
            proof = attachment.proof,
            config = if (attachmentSends > 0) attachment.config else null,
            storeEra = attachment.storeEra,
            digest = view.digest,
        )

    private fun nextProbeTarget(): Member? {
        if (probeOrder.isEmpty()) probeOrder = ArrayDeque(peers().map { it.id }.shuffled(random))
        while (probeOrder.isNotEmpty()) view[probeOrder.removeFirst()]?.let { if (it.live) return it }
        return null
    }

    private fun peers() = view.members.filter { it.live && it.id != self.id && it.place.region == self.place.region }

    private fun remotePeer() = view.members.filter { it.live && it.place.region != self.place.region }.randomOrNull(random)

    /** Returns a random dead or departed daemon to ping: it may have restarted with an empty view, or have been partitioned. */
    private fun departedPeer() = departedAtMs.keys.randomOrNull(random)?.let { view[it] }

    private fun isBridge() = peers().count { bridgeWeight(it.id) < bridgeWeight(self.id) } < policy.bridgesPerRegion

    private fun maxSends() = SENDS_FACTOR * ceil(log2(view.size + 1.0)).toInt()

    private fun List<Member>.sample(count: Int): List<Member> =
        if (size <= count) {
            this
        } else {
            generateSequence { random.nextInt(size) }
                .distinct()
                .take(count)
                .map { this[it] }
                .toList()
        }

    private companion object {
        const val SENDS_FACTOR = 2
    }
}

/** Configuration data and era of the store that a daemon attaches to its datagrams. */
data class GossipAttachment(
    val proof: ConfigProof = ConfigProof(0, 0),
    val config: ConfigDelta? = null,
    val storeEra: Long? = null,
)

private fun bridgeWeight(id: String): Long = Hashing.murmur3_128().hashString("bridge/$id", Charsets.UTF_8).asLong()
