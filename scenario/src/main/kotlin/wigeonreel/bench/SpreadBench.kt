package wigeonreel.bench

import kotlinx.serialization.Serializable
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigEntry
import wigeonreel.membership.ConfigProof
import wigeonreel.membership.GossipAttachment
import wigeonreel.membership.MemberState
import wigeonreel.soak.EventQueue

/** Propagation times, failure detection times and network traffic of a simulated fleet. */
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

/** Measures how fast changes propagate in a simulated fleet of [size] daemons, and the network traffic of gossip. */
internal class SpreadBench(
    seed: Long,
    private val size: Int,
    private val lossPercent: Int,
) {
    private val queue = EventQueue(seed)
    private val fleet = FleetNetwork(size, queue, lossPercent / 100.0)

    /** Lets the fleet settle, changes the configuration, then kills one daemon, pauses another and takes a failure domain down. */
    fun measure(): SpreadReport {
        fleet.startJoined()
        queue.run(SETTLE_MS)
        val idle = measureTraffic(IDLE_MS)
        val inForceTimes = propagateConfig()
        val detectionTimes = detectKill()
        val paused = fleet.nodes[size / 3]
        paused.pausedUntilMs = queue.nowMs + PAUSE_MS
        queue.run(PAUSE_MS + RECOVER_MS)
        val deadAfterPause = fleet.nodes.any { it.up && it.membership.view[paused.membership.self.id]?.state == MemberState.DEAD }
        val falseDeaths =
            fleet.nodes.count { node ->
                node.up &&
                    fleet.nodes.any { it.up && it.membership.view[node.membership.self.id]?.state == MemberState.DEAD }
            }
        val downNodes = fleet.nodes.filter { it.membership.self.place.failureDomain == "fd2" }.onEach { it.up = false }
        val domainLossTraffic = measureTraffic(DOMAIN_LOSS_MS)
        return SpreadReport(
            members = size,
            lossPercent = lossPercent,
            inForce50Ms = inForceTimes[inForceTimes.size / 2],
            inForce99Ms = inForceTimes[inForceTimes.size * 99 / 100],
            inForceAllMs = inForceTimes.last(),
            quietBytesInPerSecond = idle.inPerSecond,
            quietBytesOutPerSecond = idle.outPerSecond,
            regionLinkBytesPerSecond = idle.linkPerSecond,
            killNoticed50Ms = detectionTimes[detectionTimes.size / 2],
            killNoticedAllMs = detectionTimes.last(),
            falseDeaths = falseDeaths,
            deadAfterPause10s = deadAfterPause,
            domainLossBytesInPerSecond = domainLossTraffic.inPerSecond * size / (size - downNodes.size),
        )
    }

    /**
     * Applies a configuration change at one daemon, as an operator does, and returns the times until the daemons have it.
     *
     * The change propagates as a gossip attachment, as in the production daemon. A daemon that never receives it counts
     * with [PROPAGATION_TIMEOUT_MS].
     */
    private fun propagateConfig(): List<Long> {
        val entry = ConfigEntry("account/a1", """{"name":"a1","ratePerSecond":100,"burst":100,"labels":{"tier":"gold"}}""", 1)
        val attachment = GossipAttachment(ConfigProof(1, queue.nowMs), ConfigDelta(0, 1, listOf(entry)))
        val startedMs = queue.nowMs
        val times = mutableListOf<Long>()
        val receive = { node: FleetNetwork.Node ->
            if (node.receivedVersion == 0L) {
                node.receivedVersion = 1
                node.membership.updateAttachment(attachment)
                times += queue.nowMs - startedMs
            }
        }
        fleet.onReceived = { node, message -> if (message.proof.version == 1L) receive(node) }
        receive(fleet.nodes[0])
        queue.run(PROPAGATION_TIMEOUT_MS)
        fleet.onReceived = { _, _ -> }
        return times + List(fleet.nodes.size - times.size) { PROPAGATION_TIMEOUT_MS }
    }

    /** Kills one daemon and returns the sorted times until the other daemons no longer see it as live. */
    private fun detectKill(): List<Long> {
        val victim = fleet.nodes[fleet.nodes.size / 2].also { it.up = false }
        val startedMs = queue.nowMs
        val times = LongArray(fleet.nodes.size) { -1 }
        repeat((DETECTION_TIMEOUT_MS / STEP_MS).toInt()) {
            queue.run(STEP_MS)
            fleet.nodes.forEachIndexed { i, node ->
                if (times[i] < 0 && node.membership.view[victim.membership.self.id]?.live != true) times[i] = queue.nowMs - startedMs
            }
        }
        return fleet.nodes.indices
            .filter { fleet.nodes[it].up }
            .map { if (times[it] < 0) DETECTION_TIMEOUT_MS else times[it] }
            .sorted()
    }

    /** Bytes received and sent per node and second, and bytes between the regions per second. */
    private class TrafficRates(
        val inPerSecond: Double,
        val outPerSecond: Double,
        val linkPerSecond: Double,
    )

    private fun measureTraffic(durationMs: Long): TrafficRates {
        val inBefore = fleet.nodes.sumOf { it.bytesIn }
        val outBefore = fleet.nodes.sumOf { it.bytesOut }
        val linkBefore = fleet.regionLinkBytes
        queue.run(durationMs)
        val perNodeSecond = fleet.nodes.size * durationMs / 1_000.0
        return TrafficRates(
            inPerSecond = (fleet.nodes.sumOf { it.bytesIn } - inBefore) / perNodeSecond,
            outPerSecond = (fleet.nodes.sumOf { it.bytesOut } - outBefore) / perNodeSecond,
            linkPerSecond = (fleet.regionLinkBytes - linkBefore) / (durationMs / 1_000.0),
        )
    }

    private companion object {
        const val SETTLE_MS = 20_000L
        const val IDLE_MS = 20_000L
        const val PROPAGATION_TIMEOUT_MS = 20_000L
        const val PAUSE_MS = 10_000L
        const val RECOVER_MS = 15_000L
        const val DETECTION_TIMEOUT_MS = 30_000L
        const val STEP_MS = 100L
        const val DOMAIN_LOSS_MS = 30_000L
    }
}
