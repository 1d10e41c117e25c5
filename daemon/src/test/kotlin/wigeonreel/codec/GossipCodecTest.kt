package wigeonreel.codec

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigEntry
import wigeonreel.membership.ConfigProof
import wigeonreel.membership.GossipKind
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.place.Place

class GossipCodecTest {
    private val member = Member("d1", 5, 2, MemberState.LEAVING, PeerAddress("127.0.0.1", 7), Place("r0", "f1"), ServerInfo("s", 90, false))
    private val message =
        GossipMessage(
            kind = GossipKind.SYNC,
            sequence = 9,
            sender = member,
            target = "d2",
            updates = listOf(member.copy(id = "d3", server = null)),
            proof = ConfigProof(4, 77),
            config = ConfigDelta(3, 4, listOf(ConfigEntry("account/a", "{}", 4), ConfigEntry("key/k", null, 4))),
            storeEra = 3,
            digest = -1,
            bucketDigests = listOf(1, -2),
        )

    @Test
    fun `encoding and decoding a message returns an equal message`() {
        expectThat(decodeGossip(message.encode()).getOrNull()).isEqualTo(message)
    }

    @TestFactory
    fun `a member that no daemon can have announced is accepted`() =
        mapOf(
            "port out of range" to member.copy(address = PeerAddress("127.0.0.1", 70_000)),
            "no port" to member.copy(address = PeerAddress("127.0.0.1", 0)),
            "host name" to member.copy(address = PeerAddress("no.such.host.example", 7)),
            "no id" to member.copy(id = ""),
            "negative slots" to member.copy(server = ServerInfo("s", -1, true)),
            "negative revision" to member.copy(revision = -1),
            "start time too large" to member.copy(incarnation = Long.MAX_VALUE),
            "negative start time" to member.copy(incarnation = -1),
        ).flatMap { (name, odd) ->
            listOf(
                "$name, as sender" to message.copy(sender = odd),
                "$name, as update" to message.copy(updates = listOf(odd)),
            )
        }.map { (name, odd) -> DynamicTest.dynamicTest(name) { expectThat(decodeGossip(odd.encode()).isLeft()).isTrue() } }

    @Test
    fun `deeply nested bytes overflow the stack`() {
        val startOfGroup = byteArrayOf(0xA3.toByte(), 0x06)
        val nested = (0 until 30_000).flatMap { startOfGroup.asList() }.toByteArray()
        expectThat(decodeGossip(nested).isLeft()).isTrue()
    }

    @Property(seed = "20261204", tries = 3_000)
    fun `a datagram with a changed byte decodes to a message or a GossipError`(
        @ForAll @IntRange(min = 0, max = 150) index: Int,
        @ForAll replacement: Byte,
    ): Boolean {
        val bytes = message.encode()
        bytes[index % bytes.size] = replacement
        return decodeGossip(bytes).fold({ it.message.isNotEmpty() }, { it.toString().isNotEmpty() })
    }
}
