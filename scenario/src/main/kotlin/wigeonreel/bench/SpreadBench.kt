package wigeonreel.bench

import kotlinx.serialization.Serializable
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigEntry
import wigeonreel.membership.ConfigProof
import wigeonreel.membership.GossipAttachment
import wigeonreel.membership.MemberState
import wigeonreel.soak.EventQueue

/** Fleet of real cores on virtual time. */
@Serializable
internal data class SpreadReport(
    val members: Int,
    val lossPercent: Int,
    val inForce50Ms: Long,
    val inForce99Ms: Long,
    val inForceAllMs: Long,
    val quietBytesInPerSecond: Double,
    val quietBytesOutPerSecond: Double,
    val regionLinkBytesPerSecond: Double,
    val killNoticed50Ms: Long,
    val killNoticedAllMs: Long,
    val falseDeaths: Int,
    val deadAfterPause10s: Boolean,
    val domainLossBytesInPerSecond: Double,
)

/** Measures how fast news spreads in a fleet of [size] daemon cores, and what that costs on the network. */
internal class SpreadBench(
    seed: Long,
    private val size: Int,
    private val lossPercent: Int,
) {
    private val queue = EventQueue(seed)
    private val fleet = FleetNetwork(size, queue, lossPercent / 100.0)

    /** Lets the fleet settle, changes the configuration, then kills, pauses and loses daemons. */
    fun measure(): SpreadReport {
        fleet.startJoined()
        queue.run(SETTLE_MS)
        val quiet = bytesOver(QUIET_MS)
        val inForce = spreadConfig()
        val killed = kill()
        val paused = fleet.nodes[size / 3]
        paused.pausedUntilMs = queue.nowMs + PAUSE_MS
        queue.run(PAUSE_MS + RECOVER_MS)
        val deadAfterPause = fleet.nodes.any { it.up && it.membership.view[paused.membership.self.id]?.state == MemberState.DEAD }
        val falseDeaths =
            fleet.nodes.count { node ->
                node.up &&
                    fleet.nodes.any { it.up && it.membership.view[node.membership.self.id]?.state == MemberState.DEAD }
            }
        val lost = fleet.nodes.filter { it.membership.self.place.failureDomain == "fd2" }.onEach { it.up = false }
        val domainLoss = bytesOver(DOMAIN_LOSS_MS)
        return SpreadReport(
            members = size,
            lossPercent = lossPercent,
            inForce50Ms = inForce[inForce.size / 2],
            inForce99Ms = inForce[inForce.size * 99 / 100],
            inForceAllMs = inForce.last(),
            quietBytesInPerSecond = quiet.inPerSecond,
            quietBytesOutPerSecond = quiet.outPerSecond,
            regionLinkBytesPerSecond = quiet.linkPerSecond,
            killNoticed50Ms = killed[killed.size / 2],
            killNoticedAllMs = killed.last(),
            falseDeaths = falseDeaths,
            deadAfterPause10s = deadAfterPause,
            domainLossBytesInPerSecond = domainLoss.inPerSecond * size / (size - lost.size),
        )
    }

    /** The daemon that an operator asked has the change; it spreads as the real daemon spreads it. */
    private fun spreadConfig(): List<Long> {
        val entry = ConfigEntry("account/a1", """{"name":"a1","ratePerSecond":100,"burst":100,"labels":{"tier":"gold"}}""", 1)
        val attachment = GossipAttachment(ConfigProof(1, queue.nowMs), ConfigDelta(0, 1, listOf(entry)))
        val startedMs = queue.nowMs
        val times = mutableListOf<Long>()
        val take = { node: FleetNetwork.Node ->
            if (node.heardVersion == 0L) {
                node.heardVersion = 1
                node.membership.updateAttachment(attachment)
                times += queue.nowMs - startedMs
            }
        }
        fleet.onTaken = { node, message -> if (message.proof.version == 1L) take(node) }
        take(fleet.nodes[0])
        queue.run(SPREAD_MS)
        fleet.onTaken = { _, _ -> }
        return times + List(fleet.nodes.size - times.size) { SPREAD_MS }
    }

    private fun kill(): List<Long> {
        val victim = fleet.nodes[fleet.nodes.size / 2].also { it.up = false }
        val startedMs = queue.nowMs
        val times = LongArray(fleet.nodes.size) { -1 }
        repeat((NOTICE_MS / STEP_MS).toInt()) {
            queue.run(STEP_MS)
            fleet.nodes.forEachIndexed { i, node ->
                if (times[i] < 0 && node.membership.view[victim.membership.self.id]?.live != true) times[i] = queue.nowMs - startedMs
            }
        }
        return fleet.nodes.indices
            .filter { fleet.nodes[it].up }
            .map { if (times[it] < 0) NOTICE_MS else times[it] }
            .sorted()
    }

    private class Traffic(
        val inPerSecond: Double,
        val outPerSecond: Double,
        val linkPerSecond: Double,
    )

    private fun bytesOver(durationMs: Long): Traffic {
        val inBefore = fleet.nodes.sumOf { it.bytesIn }
        val outBefore = fleet.nodes.sumOf { it.bytesOut }
        val linkBefore = fleet.regionLinkBytes
        queue.run(durationMs)
        val perNodeSecond = fleet.nodes.size * durationMs / 1_000.0
        return Traffic(
            inPerSecond = (fleet.nodes.sumOf { it.bytesIn } - inBefore) / perNodeSecond,
            outPerSecond = (fleet.nodes.sumOf { it.bytesOut } - outBefore) / perNodeSecond,
            linkPerSecond = (fleet.regionLinkBytes - linkBefore) / (durationMs / 1_000.0),
        )
    }

    private companion object {
        const val SETTLE_MS = 20_000L
        const val QUIET_MS = 20_000L
        const val SPREAD_MS = 20_000L
        const val PAUSE_MS = 10_000L
        const val RECOVER_MS = 15_000L
        const val NOTICE_MS = 30_000L
        const val STEP_MS = 100L
        const val DOMAIN_LOSS_MS = 30_000L
    }
}
