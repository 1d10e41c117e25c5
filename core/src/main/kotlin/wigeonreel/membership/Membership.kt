package wigeonreel.membership

import com.google.common.hash.Hashing
import wigeonreel.config.ConfigDelta
import kotlin.math.ceil
import kotlin.math.log2
import kotlin.random.Random

/**
 * Membership of the fleet as one daemon sees it: probing, suspicion and gossip within a region, bridges between regions.
 *
 * The cost for each daemon does not grow with the fleet: one probe a period, news in bounded datagrams, and whole views
 * compared by digest. No sockets or clocks: the caller sends what is returned and passes the present time.
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
        val untilMs: Long,
    )

    /** What is known of the fleet, this daemon included. */
    val view = MemberView()

    /** Counts changes of [view], so that a caller notices them cheaply. */
    var changes: Long = 0
        private set

    /** Time at which a peer was last heard, or null when none ever was. */
    var heardAtMs: Long? = null
        private set

    /** What this daemon says of itself. */
    var self: Member = self
        private set

    private val queue = UpdateQueue()
    private val suspectedAtMs = HashMap<String, Long>()
    private val goneAtMs = HashMap<String, Long>()
    private val relays = ArrayDeque<Relay>()
    private var probe: Probe? = null
    private var probeOrder = ArrayDeque<String>()
    private var sequence = 0L
    private var nextProbeMs = 0L
    private var nextNewsMs = 0L
    private var nextSyncMs = 0L
    private var attachment = GossipAttachment()
    private var attachmentSends = 0

    init {
        view.put(self)
        queue.add(self.id)
    }

    /** Sets what is sent along with every datagram; a new configuration version is pushed at once. */
    fun attach(next: GossipAttachment) {
        if (next.proof.version > attachment.proof.version) attachmentSends = maxSends()
        attachment = next
    }

    /** Takes members from elsewhere, such as announcements in the store. */
    fun seed(members: List<Member>, nowMs: Long) = members.forEach { learn(it, nowMs) }

    /** Changes what this daemon says of its server and of itself. */
    fun announce(server: ServerInfo?, state: MemberState) {
        if (server == self.server && state == self.state) return
        updateSelf(self.copy(server = server, state = state, revision = self.revision + 1))
    }

    /** Does what is due at [nowMs]; to be called several times for each news interval. */
    fun tick(nowMs: Long): List<Outgoing> =
        buildList {
            escalateProbe(nowMs)?.let { addAll(it) }
            expire(nowMs)
            if (nowMs >= nextProbeMs) addAll(startProbe(nowMs))
            if (nowMs >= nextNewsMs) addAll(sendNews(nowMs))
        }

    /** Takes a datagram that came [from] a peer; returns the answers. */
    fun onMessage(message: GossipMessage, from: PeerAddress, nowMs: Long): List<Outgoing> {
        heardAtMs = nowMs
        learn(message.sender, nowMs)
        message.updates.forEach { learn(it, nowMs) }
        return when (message.kind) {
            GossipKind.PING -> listOf(Outgoing(from, message(GossipKind.ACK, message.sequence))) + syncIfDiffers(message, from, nowMs)
            GossipKind.ACK -> onAck(message, nowMs) + syncIfDiffers(message, from, nowMs)
            GossipKind.PING_REQUEST -> relayProbe(message, from, nowMs)
            GossipKind.NEWS -> emptyList()
            GossipKind.SYNC -> answerSync(message, from)
        }
    }

    /** Takes evidence from the path of requests that the daemon [id] does not answer. */
    fun onUnreachable(id: String, nowMs: Long) {
        val member = view[id] ?: return
        if (member.place.region == self.place.region && member.state == MemberState.ALIVE) suspect(member, nowMs)
    }

    private fun startProbe(nowMs: Long): List<Outgoing> {
        nextProbeMs = nowMs + policy.probeMs
        val outgoing = mutableListOf<Outgoing>()
        nextTarget()?.let { target ->
            val started = Probe(target.id, ++sequence, nowMs, indirect = false)
            probe = started
            outgoing += Outgoing(target.address, message(GossipKind.PING, started.sequence))
        }
        if (isBridge()) remotePeer()?.let { outgoing += Outgoing(it.address, message(GossipKind.PING, ++sequence)) }
        lostPeer()?.let { outgoing += Outgoing(it.address, message(GossipKind.PING, ++sequence)) }
        return outgoing
    }

    private fun escalateProbe(nowMs: Long): List<Outgoing>? {
        val pending = probe ?: return null
        val target = view[pending.target]
        if (target == null || !target.live) {
            probe = null
            return null
        }
        val waitedMs = nowMs - pending.sentAtMs
        if (!pending.indirect && waitedMs >= policy.ackMs) {
            pending.indirect = true
            return peers().filter { it.id != target.id }.shuffled(random).take(policy.indirectProbes).map {
                Outgoing(it.address, message(GossipKind.PING_REQUEST, pending.sequence).copy(target = target.id))
            }
        }
        if (waitedMs >= policy.probeMs - policy.newsMs) {
            probe = null
            if (target.state == MemberState.ALIVE || target.state == MemberState.LEAVING) suspect(target, nowMs)
        }
        return null
    }

    private fun relayProbe(message: GossipMessage, from: PeerAddress, nowMs: Long): List<Outgoing> {
        val target = view[message.target] ?: return emptyList()
        val ping = message(GossipKind.PING, ++sequence)
        relays.addLast(Relay(from, message.sequence, target.id, nowMs + policy.probeMs))
        return listOf(Outgoing(target.address, ping))
    }

    private fun onAck(message: GossipMessage, nowMs: Long): List<Outgoing> {
        val answered = message.target.ifEmpty { message.sender.id }
        if (probe?.target == answered) probe = null
        if (message.target.isEmpty()) clearSuspicion(message.sender.id)
        val waiting = relays.filter { it.target == message.sender.id && it.untilMs > nowMs }
        relays.removeIf { it.target == message.sender.id || it.untilMs <= nowMs }
        return waiting.map { Outgoing(it.requester, message(GossipKind.ACK, it.sequence).copy(target = it.target)) }
    }

    private fun sendNews(nowMs: Long): List<Outgoing> {
        nextNewsMs = nowMs + policy.newsMs
        if (queue.size == 0 && attachmentSends <= 0) return emptyList()
        attachmentSends -= policy.newsFanout
        val targets = peers().sample(policy.newsFanout).toMutableList()
        if (isBridge()) remotePeer()?.let { targets += it }
        return targets.map { Outgoing(it.address, message(GossipKind.NEWS, ++sequence)) }
    }

    private fun syncIfDiffers(message: GossipMessage, from: PeerAddress, nowMs: Long): List<Outgoing> {
        if (message.digest == view.digest || nowMs < nextSyncMs) return emptyList()
        nextSyncMs = nowMs + policy.syncMs
        return listOf(Outgoing(from, message(GossipKind.SYNC, ++sequence).copy(bucketDigests = view.bucketDigests)))
    }

    private fun answerSync(message: GossipMessage, from: PeerAddress): List<Outgoing> {
        if (message.bucketDigests.isEmpty()) return emptyList()
        val pages = view.differing(message.bucketDigests).chunked(policy.updatesPerMessage)
        return pages.map { Outgoing(from, bareMessage(GossipKind.SYNC, ++sequence).copy(updates = it)) }
    }

    private fun learn(member: Member, nowMs: Long) {
        if (member.id == self.id) return refuteIfNeeded(member)
        val known = view[member.id]
        if (known != null && !member.supersedes(known)) return
        if (known == null && !member.live) return
        view.put(member)
        queue.add(member.id)
        changes++
        track(member, nowMs)
    }

    private fun track(member: Member, nowMs: Long) {
        if (member.state == MemberState.SUSPECT) suspectedAtMs.getOrPut(member.id) { nowMs } else suspectedAtMs.remove(member.id)
        if (member.live) goneAtMs.remove(member.id) else goneAtMs[member.id] = nowMs
    }

    private fun refuteIfNeeded(said: Member) {
        if (said.incarnation < self.incarnation || !said.supersedes(self)) return
        val foreignLife = said.incarnation > self.incarnation || (said.state == MemberState.LEFT && self.state != MemberState.LEFT)
        updateSelf(self.copy(incarnation = said.incarnation + (if (foreignLife) 1 else 0), revision = said.revision + 1))
    }

    private fun updateSelf(next: Member) {
        self = next
        view.put(next)
        queue.add(next.id)
        changes++
    }

    private fun suspect(member: Member, nowMs: Long) = learn(member.copy(state = MemberState.SUSPECT), nowMs)

    /** A daemon that answers a probe is alive; the word that clears it for others is its own refutation. */
    private fun clearSuspicion(id: String) {
        if (suspectedAtMs.remove(id) == null) return
        val member = view[id] ?: return
        if (member.state == MemberState.SUSPECT) queue.add(id)
    }

    private fun expire(nowMs: Long) {
        val expired = suspectedAtMs.filterValues { nowMs - it >= policy.suspectMs }.keys.toList()
        for (id in expired) {
            suspectedAtMs.remove(id)
            val member = view[id] ?: continue
            if (member.state == MemberState.SUSPECT) learn(member.copy(state = MemberState.DEAD), nowMs)
        }
        val forgotten = goneAtMs.filterValues { nowMs - it >= policy.forgetMs }.keys.toList()
        forgotten.forEach {
            goneAtMs.remove(it)
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
            digest = view.digest,
        )

    private fun nextTarget(): Member? {
        if (probeOrder.isEmpty()) probeOrder = ArrayDeque(peers().map { it.id }.shuffled(random))
        while (probeOrder.isNotEmpty()) view[probeOrder.removeFirst()]?.let { if (it.live) return it }
        return null
    }

    private fun peers() = view.members.filter { it.live && it.id != self.id && it.place.region == self.place.region }

    private fun remotePeer() = view.members.filter { it.live && it.place.region != self.place.region }.randomOrNull(random)

    /** A daemon that was taken for dead may have returned and know nobody, or have been cut off. */
    private fun lostPeer() = goneAtMs.keys.randomOrNull(random)?.let { view[it] }

    private fun isBridge() = peers().count { bridgeWeight(it.id) < bridgeWeight(self.id) } < policy.bridges

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

/** What a daemon sends along with its datagrams. */
data class GossipAttachment(
    val proof: ConfigProof = ConfigProof(0, 0),
    val config: ConfigDelta? = null,
)

private fun bridgeWeight(id: String): Long = Hashing.murmur3_128().hashString("bridge/$id", Charsets.UTF_8).asLong()
