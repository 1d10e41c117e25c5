package wigeonreel.bench

import wigeonreel.codec.encode
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.Membership
import wigeonreel.membership.MembershipPolicy
import wigeonreel.membership.OutgoingDatagram
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.place.Place
import wigeonreel.soak.EventQueue
import kotlin.random.Random

/** Returns member [number] of a fleet with [domains] failure domains in two regions. */
internal fun memberOf(number: Int, domains: Int, services: Int): Member {
    val domain = number % domains
    val address = PeerAddress("10.${number shr BYTE_BITS}.${number and BYTE_MASK}.1", PEER_PORT)
    val server = ServerInfo("service-${number % services}", SLOTS, ready = true)
    return Member(
        "10.${number shr BYTE_BITS}.${number and BYTE_MASK}.1:$PEER_PORT",
        STARTED_MS + number,
        0,
        MemberState.ALIVE,
        address,
        Place("r${domain % 2}", "fd$domain"),
        server,
    )
}

private const val PEER_PORT = 7_003
private const val BYTE_BITS = 8
private const val BYTE_MASK = 255
private const val SLOTS = 90
private const val STARTED_MS = 1_700_000_000_000L

/**
 * Simulated network of daemons with the production membership protocol, in virtual time.
 *
 * Datagrams are delayed and lost with [lossProbability]; their encoded bytes are counted.
 */
internal class FleetNetwork(
    size: Int,
    private val queue: EventQueue,
    private val lossProbability: Double,
) {
    class Node(
        val membership: Membership,
    ) {
        var up = true
        var pausedUntilMs = 0L
        var bytesIn = 0L
        var bytesOut = 0L
        var receivedVersion = 0L
        val address = membership.self.address
    }

    val nodes = List(size) { Node(Membership(memberOf(it, DOMAINS, SERVICES), MembershipPolicy(), Random(it))) }
    private val byAddress = nodes.associateBy { it.address }

    /** Bytes sent from one region to another. */
    var regionLinkBytes = 0L
        private set

    /** Whether datagrams between the regions are dropped. */
    var regionLinkDown = false

    /** Called for each message that a node receives. */
    var onReceived: (Node, GossipMessage) -> Unit = { _, _ -> }

    /** Adds every node to the member list of all others and starts the ticks. */
    fun startJoined() {
        val members = nodes.map { it.membership.self }
        nodes.forEach { it.membership.seed(members, queue.nowMs) }
        nodes.forEach { node -> queue.after(queue.random.nextLong(TICK_MS)) { tick(node) } }
    }

    private fun tick(node: Node) {
        if (node.up && node.pausedUntilMs <= queue.nowMs) send(node, node.membership.tick(queue.nowMs))
        if (node.up) queue.after(TICK_MS) { tick(node) }
    }

    private fun send(from: Node, outgoing: List<OutgoingDatagram>) {
        for (datagram in outgoing) {
            val bytes = datagram.message.encode().size + UDP_HEADER_BYTES
            from.bytesOut += bytes
            val to = byAddress[datagram.to] ?: continue
            val crossRegion = to.membership.self.place.region != from.membership.self.place.region
            if (crossRegion) regionLinkBytes += bytes
            if ((crossRegion && regionLinkDown) || queue.chance(lossProbability)) continue
            queue.after(if (crossRegion) CROSS_REGION_DELAY_MS else SAME_REGION_DELAY_MS) { deliver(from, to, datagram.message, bytes) }
        }
    }

    private fun deliver(from: Node, to: Node, message: GossipMessage, bytes: Int) {
        if (!to.up) return
        val remainingPauseMs = to.pausedUntilMs - queue.nowMs
        if (remainingPauseMs > 0) return queue.after(remainingPauseMs) { deliver(from, to, message, bytes) }
        to.bytesIn += bytes
        send(to, to.membership.onMessage(message, from.address, queue.nowMs))
        onReceived(to, message)
    }

    private companion object {
        const val DOMAINS = 6
        const val SERVICES = 110
        const val TICK_MS = 100L
        const val SAME_REGION_DELAY_MS = 1L
        const val CROSS_REGION_DELAY_MS = 8L
        const val UDP_HEADER_BYTES = 28
    }
}
