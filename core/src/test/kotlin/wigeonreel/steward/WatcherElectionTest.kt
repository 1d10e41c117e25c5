package wigeonreel.steward

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.PeerAddress
import wigeonreel.place.Place

class WatcherElectionTest {
    private fun member(number: Int, domains: Int, state: MemberState = MemberState.ALIVE) =
        Member.starting("d$number", 1, PeerAddress("10.0.0.$number", 7_000), Place("r", "z${number % domains}")).copy(state = state)

    private fun watchers(members: List<Member>): List<Member> =
        members.filter { self -> WatcherElection(0).also { it.onMembers(self, members) }.shouldWatch(0) }

    @TestFactory
    fun `the number of watchers depends on the failure domains and not on the fleet size`() =
        listOf(Triple(16, 4, 8), Triple(95, 8, 16), Triple(3_700, 6, 12)).map { (daemons, domains, expected) ->
            DynamicTest.dynamicTest("$daemons daemons in $domains failure domains") {
                expectThat(watchers(List(daemons) { member(it, domains) }).size).isEqualTo(expected)
            }
        }

    @Test
    fun `dead watchers are replaced by other daemons`() {
        val members = List(24) { member(it, 4) }
        val dead = watchers(members).map { it.id }.toSet()
        val after = members.map { if (it.id in dead) it.copy(state = MemberState.DEAD) else it }
        val next = watchers(after).filter { it.state == MemberState.ALIVE }
        expectThat(next.size).isEqualTo(8)
        expectThat(next.none { it.id in dead }).isTrue()
    }

    @Test
    fun `a daemon without a newer proof watches the store until one arrives`() {
        val members = List(24) { member(it, 4) }
        val self = members.first { it !in watchers(members) }
        val election = WatcherElection(startedAtMs = 0).also { it.onMembers(self, members) }
        election.onProof(provenAtMs = 1_000, nowMs = 1_000)
        expectThat(election.shouldWatch(8_000)).isFalse()
        election.onProof(provenAtMs = 1_000, nowMs = 9_000)
        expectThat(election.shouldWatch(9_500)).isTrue()
        election.onProof(provenAtMs = 500_000, nowMs = 9_600)
        expectThat(election.shouldWatch(9_700)).isFalse()
    }
}
