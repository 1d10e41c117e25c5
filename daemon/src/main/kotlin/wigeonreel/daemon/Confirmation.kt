package wigeonreel.daemon

import io.netty.channel.EventLoopGroup
import wigeonreel.codec.toWire
import wigeonreel.config.Configuration
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.peer.PeerClients
import wigeonreel.place.Place
import java.util.concurrent.TimeUnit

/** Offers a stored version to one daemon of each failure domain and gathers their receipts. */
class Confirmation(
    private val version: Long,
    members: List<Member>,
    private val configuration: Configuration,
    private val control: EventLoopGroup,
    private val traffic: EventLoopGroup,
    private val peers: PeerClients,
) {
    private val byPlace = members.filter { it.state == MemberState.ALIVE }.groupBy { it.place }
    private val open: MutableSet<Place> = byPlace.keys.toMutableSet()
    private var done = false

    /** Asks; [onUnconfirmed] gets the failure domains that have not confirmed, at once when all have. */
    fun start(onUnconfirmed: (List<String>) -> Unit) {
        val finish = {
            if (!done) {
                done = true
                onUnconfirmed(open.map { "${it.region}/${it.failureDomain}" }.sorted())
            }
        }
        control.schedule(finish, CONFIRM_MS, TimeUnit.MILLISECONDS)
        byPlace.forEach { (place, candidates) -> ask(place, candidates.shuffled().take(CANDIDATES), finish) }
    }

    private fun ask(place: Place, candidates: List<Member>, finish: () -> Unit) {
        val delta = configuration.deltaSince(version - 1).toWire()
        traffic.execute {
            candidates.forEach { member ->
                peers.call(member.address, CONFIRM_MS, { it.offerConfig(delta) }) { receipt, _ ->
                    if (receipt != null && receipt.version >= version) control.execute { confirmed(place, finish) }
                }
            }
        }
    }

    private fun confirmed(place: Place, finish: () -> Unit) {
        open -= place
        if (open.isEmpty()) finish()
    }

    private companion object {
        const val CONFIRM_MS = 3_000L
        const val CANDIDATES = 2
    }
}
