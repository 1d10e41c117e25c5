package wigeonreel.processes

import wigeonreel.codec.encode
import wigeonreel.membership.GossipKind
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.place.Place
import java.util.Base64

/** Rows that another program left among the announcements of daemons, by their keys. */
internal object OddRows {
    private val member =
        Member
            .starting("odd-port", 5, PeerAddress("127.0.0.9", 70_000), Place("r0", "z0"))
            .copy(server = ServerInfo("desk", 50, ready = true))

    val values: Map<String, ByteArray> =
        mapOf(
            "odd-port" to announcement(member),
            "odd-host" to announcement(member.copy(id = "odd-host", address = PeerAddress("no such host", 7_000))),
            "odd-time" to announcement(member.copy(id = "odd-time", address = PeerAddress("127.0.0.9", 9), incarnation = Long.MAX_VALUE)),
            "odd-nesting" to "[".repeat(NESTING).encodeToByteArray(),
            "odd-bytes" to byteArrayOf(0, -1, 7),
        )

    private fun announcement(member: Member): ByteArray = Base64.getEncoder().encode(GossipMessage(GossipKind.NEWS, 0, member).encode())

    private const val NESTING = 30_000
}
