package wigeonreel.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import wigeonreel.place.Place
import kotlin.random.Random

class MembershipTest {
    private val policy = MembershipPolicy()
    private val nodes = (0 until 6).map { Membership(member(it), policy, Random(it)) }
    private val byAddress = nodes.associateBy { it.self.address }
    private val stoppedAddresses = HashSet<PeerAddress>()
    private var nowMs = 0L

    private fun member(number: Int, incarnation: Long = 1) =
        Member(
            "d$number",
            incarnation,
            0,
            MemberState.ALIVE,
            PeerAddress("h$number", 1),
            Place("r${number % 2}", "f"),
            ServerInfo("s", 1, true),
        )

    private fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += 100
            for (node in nodes.filter { it.self.address !in stoppedAddresses }) deliver(node.self.address, node.tick(nowMs))
        }
    }

    private fun deliver(from: PeerAddress, outgoing: List<OutgoingDatagram>) {
        for (datagram in outgoing.filter { it.to !in stoppedAddresses }) {
            val target = byAddress.getValue(datagram.to)
            deliver(target.self.address, target.onMessage(datagram.message, from, nowMs))
        }
    }

    private fun states(id: String) = nodes.filter { it.self.address !in stoppedAddresses }.map { it.view[id]?.state }

    private fun join() {
        nodes.forEach { it.seed(listOf(nodes[0].self, nodes[1].self), nowMs) }
        run(15_000)
    }

    @Test
    fun `all daemons of both regions discover each other from two seeds`() {
        join()
        expectThat(nodes.map { it.view.size }).all { isEqualTo(6) }
        expectThat(nodes.map { it.view.digest }.toSet().size).isEqualTo(1)
    }

    @Test
    fun `a stopped daemon is declared dead by all daemons in both regions`() {
        join()
        stoppedAddresses += nodes[2].self.address
        run(20_000)
        expectThat(states("d2")).all { isEqualTo(MemberState.DEAD) }
    }

    @Test
    fun `a suspected daemon that is alive refutes the suspicion`() {
        join()
        nodes[0].onUnreachable("d2", nowMs)
        expectThat(nodes[0].view["d2"]?.state).isEqualTo(MemberState.SUSPECT)
        run(10_000)
        expectThat(states("d2")).all { isEqualTo(MemberState.ALIVE) }
    }

    @Test
    fun `no daemon routes to a leaving server after two seconds`() {
        join()
        nodes[2].announce(nodes[2].self.server?.copy(ready = false), MemberState.LEAVING)
        run(2_000)
        expectThat(nodes.map { it.view["d2"]?.routable }).all { isEqualTo(false) }
    }

    @Test
    fun `a claim with the highest revision can't be refuted`() {
        val node = nodes[0]
        val claim = node.self.copy(revision = Int.MAX_VALUE, state = MemberState.DEAD)
        node.seed(listOf(claim), 0)
        expectThat(node.self.supersedes(claim)).isTrue()
        expectThat(node.self.state).isEqualTo(MemberState.ALIVE)
    }

    @Test
    fun `a new incarnation replaces a dead one`() {
        val node = nodes[0]
        node.seed(listOf(member(2)), 0)
        node.seed(listOf(member(2).copy(state = MemberState.DEAD)), 0)
        node.seed(listOf(member(2, incarnation = 2)), 0)
        expectThat(node.view["d2"]?.state).isEqualTo(MemberState.ALIVE)
    }
}
