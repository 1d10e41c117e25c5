package wigeonreel.daemon

import io.netty.channel.EventLoopGroup
import wigeonreel.codec.toWire
import wigeonreel.config.Configuration
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.peer.PeerClients
import wigeonreel.place.Place
import java.util.concurrent.TimeUnit

/** Offers a stored configuration version to up to two daemons of each failure domain and collects receipts; one confirms the domain. */
class Confirmation(
    private val version: Long,
    members: List<Member>,
    private val configuration: Configuration,
    private val controlLoop: EventLoopGroup,
    private val trafficLoop: EventLoopGroup,
    private val peers: PeerClients,
) {
    private val byPlace = members.filter { it.state == MemberState.ALIVE }.groupBy { it.place }
    private val unconfirmed: MutableSet<Place> = byPlace.keys.toMutableSet()
    private var done = false

    /**
     * Sends the offers; [onUnconfirmed] is called once with the failure domains that have not confirmed the version.
     *
     * The call comes as soon as all have confirmed, at the latest after [CONFIRM_TIMEOUT_MS].
     */
    fun start(onUnconfirmed: (List<String>) -> Unit) {
        val finish = {
            if (!done) {
                done = true
                onUnconfirmed(unconfirmed.map { "${it.region}/${it.failureDomain}" }.sorted())
            }
        }
        controlLoop.schedule(finish, CONFIRM_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        byPlace.forEach { (place, candidates) -> offer(place, candidates.shuffled().take(OFFERS_PER_PLACE), finish) }
    }

    private fun offer(place: Place, candidates: List<Member>, finish: () -> Unit) {
        val delta = configuration.deltaSince(version - 1).toWire()
        trafficLoop.execute {
            candidates.forEach { member ->
                peers.call(member.address, CONFIRM_TIMEOUT_MS, { it.offerConfig(delta) }) { receipt, _ ->
                    if (receipt != null && receipt.version >= version) controlLoop.execute { onConfirmed(place, finish) }
                }
            }
        }
    }

    private fun onConfirmed(place: Place, finish: () -> Unit) {
        unconfirmed -= place
        if (unconfirmed.isEmpty()) finish()
    }

    private companion object {
        const val CONFIRM_TIMEOUT_MS = 3_000L
        const val OFFERS_PER_PLACE = 2
    }
}
