package wigeonreel.control

import io.netty.channel.EventLoopGroup
import wigeonreel.config.ConfigDelta
import wigeonreel.config.ConfigOffer
import wigeonreel.config.Configuration
import wigeonreel.daemon.Clock
import wigeonreel.kernel.Log
import wigeonreel.kernel.Service
import wigeonreel.membership.ConfigProof
import wigeonreel.membership.GossipAttachment
import wigeonreel.membership.GossipMessage
import wigeonreel.membership.Member
import wigeonreel.membership.MemberState
import wigeonreel.membership.Membership
import wigeonreel.membership.MembershipPolicy
import wigeonreel.membership.PeerAddress
import wigeonreel.membership.ServerInfo
import wigeonreel.steward.RegionCoordinatorPolicy
import wigeonreel.steward.WatcherElection
import wigeonreel.steward.isRegionCoordinator
import wigeonreel.steward.planHomesAndSeats
import wigeonreel.store.TableService
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Snapshot of the fleet and the configuration that the control event loop publishes to the traffic event loop.
 *
 * @param members members of the fleet, empty unless [changed].
 * @param configuration configuration in force, or null until one was received.
 * @param provenAtMs latest time at which [configuration] is known to have been the stored version.
 * @param lastContactAtMs time of the last message from the store or a peer.
 * @param changed whether members or configuration differ from the previous snapshot.
 * @param announcementsRead whether the fleet is known from the announcements in the store or from peers.
 */
class ControlSnapshot(
    val self: Member,
    val members: List<Member>,
    val configuration: Configuration?,
    val provenAtMs: Long,
    val lastContactAtMs: Long,
    val changed: Boolean,
    val announcementsRead: Boolean,
) {
    /** Addresses of the live daemons. */
    val liveAddresses: Set<PeerAddress> get() = members.filter { it.live }.mapTo(HashSet()) { it.address }
}

/**
 * How [ControlService] handles the configuration.
 *
 * @param format location and format of the configuration in the store.
 * @param ownsConfiguration whether daemons write home sets and seats to the configuration, poll the store and gossip small deltas.
 *   Otherwise only the operators of the platform write it, and daemons watch the store and fetch complete versions from peers.
 */
class ControlPolicy(
    val format: ConfigFormat = DEFAULT_CONFIG_FORMAT,
    val ownsConfiguration: Boolean = true,
)

/**
 * Runs the membership protocol, keeps the configuration current and maintains the home sets and seats.
 *
 * Not thread-safe: used on the control event loop, except for [start] and [stop].
 */
class ControlService(
    private val loop: EventLoopGroup,
    self: Member,
    private val table: TableService,
    private val clock: Clock,
    private val policy: ControlPolicy,
    private val fetchConfig: (PeerAddress, Long, (ConfigDelta) -> Unit) -> Unit,
    private val publish: (ControlSnapshot) -> Unit,
) : Service {
    override val name = "control"
    private val log = Log("control")
    private val membership = Membership(self, MembershipPolicy(), Random(ThreadLocalRandom.current().nextLong()))
    private val registry = MemberRegistry(table)
    private val announcement = OwnedRow(loop, table, MemberRegistry.rowOf(self.id), ANNOUNCE_RETRY_MS)
    private val socket: GossipSocket =
        GossipSocket(loop, InetSocketAddress(self.address.host, self.address.port)) { message, from -> onMessage(message, from) }
    private var publishedChangeCount = -1L
    private var publishedVersion = -1L
    private var nextPollMs = 0L
    private var announcementsRead = false
    private val startedAtMs = clock.nowMs()
    private val watcherElection = WatcherElection(startedAtMs)
    private var electionChangeCount = -1L
    private var nextSeedReadMs = startedAtMs + ANNOUNCE_TIMEOUT_MS
    private var nextPlanMs = 0L
    private var writing = false
    private var nextFetchMs = 0L
    private var deltaBase = 0L

    /** Configuration of this daemon and its access to the store. */
    val config = ConfigRepository(table, clock, policy.format) { onConfigChange() }

    /** Members of the fleet in this daemon's view, itself included. */
    val members: Collection<Member> get() = membership.view.members

    /** Member entry of this daemon. */
    val self: Member get() = membership.self

    /** Number of bytes sent by the membership protocol. */
    val sentBytes: Long get() = socket.sentBytes

    /** Number of bytes received by the membership protocol. */
    val receivedBytes: Long get() = socket.receivedBytes

    override fun start() {
        socket.open()
        loop.submit { announceAndPoll() }.sync()
        loop.scheduleAtFixedRate({ catching { tick() } }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
    }

    override fun stop() {
        val withdrawn = CountDownLatch(1)
        loop
            .submit {
                // If this fails, the row only lists a daemon that can't be reached.
                announcement.delete { withdrawn.countDown() }
                leave(MemberState.LEFT)
            }.sync()
        withdrawn.await(WITHDRAW_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        socket.close()
    }

    /** Announces the state of the local backend server to the fleet. */
    fun announce(server: ServerInfo?) = membership.announce(server, membership.self.state)

    /** Announces to the fleet that this daemon is leaving or has left, according to [state]. */
    fun leave(state: MemberState) {
        membership.announce(membership.self.server?.copy(ready = false), state)
        repeat(LEAVE_ROUNDS) { socket.send(membership.tick(clock.nowMs() + it * TICK_MS * 2)) }
    }

    /** Handles a report that the daemon [id] did not answer a request. */
    fun onUnreachable(id: String) = membership.onUnreachable(id, clock.nowMs())

    /** Applies a configuration delta from a peer; returns the version in force afterwards. */
    fun offerConfig(delta: ConfigDelta): Long {
        config.offer(delta)
        return config.replica.current.version
    }

    private fun announceAndPoll() {
        announceSelf()
        if (policy.ownsConfiguration) config.poll()
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        socket.send(membership.tick(nowMs))
        updateWatcherElection()
        if (nowMs >= nextSeedReadMs) readSeeds(nowMs)
        if (policy.ownsConfiguration) {
            if (nowMs >= nextPollMs) poll(nowMs)
            if (nowMs >= nextPlanMs) maintainHomesAndSeats(nowMs)
        } else {
            watcherElection.onProof(config.provenAtMs, nowMs)
            if (!config.replica.ready || watcherElection.shouldWatch(nowMs)) config.ensureWatching(nowMs)
            attach()
        }
        publishNow(nowMs)
    }

    private fun updateWatcherElection() {
        if (membership.changeCount == electionChangeCount) return
        electionChangeCount = membership.changeCount
        watcherElection.onMembers(self, members)
    }

    private fun poll(nowMs: Long) {
        val intervalMs = if (!config.replica.ready || watcherElection.elected) WATCHER_POLL_INTERVAL_MS else POLL_INTERVAL_MS
        nextPollMs = nowMs + intervalMs / 2 + ThreadLocalRandom.current().nextLong(intervalMs)
        config.poll { attach() }
    }

    /** Writes this daemon's row before the other rows are read, so at least one of two starting daemons finds the other. */
    private fun announceSelf() =
        announcement.write(MemberRegistry.announcementOf(membership.self)) {
            if (!announcementsRead) nextSeedReadMs = clock.nowMs()
        }

    /** Reads the announced daemons. Periodic reads by a few daemons reconnect the parts of the fleet after a partition. */
    private fun readSeeds(nowMs: Long) {
        nextSeedReadMs = nowMs + ALONE_SEED_INTERVAL_MS
        registry.readSeeds { seeds, complete ->
            membership.seed(seeds.filter { it.id != self.id }, clock.nowMs())
            if (!complete) return@readSeeds
            announcementsRead = true
            val alone = members.none { it.live && it.id != self.id }
            if (!alone) nextSeedReadMs = clock.nowMs() + if (watcherElection.elected) WATCHER_SEED_INTERVAL_MS else SEED_INTERVAL_MS
        }
    }

    private fun maintainHomesAndSeats(nowMs: Long) {
        nextPlanMs = nowMs + PLAN_INTERVAL_MS
        val settled = membership.view.size > 1 || nowMs - self.incarnation > ALONE_PLAN_DELAY_MS
        if (writing || !settled || !config.replica.ready || !isRegionCoordinator(self, members)) return
        val edits = planHomesAndSeats(self, members, config.replica.current, RegionCoordinatorPolicy(), nowMs)
        if (edits.isEmpty()) return
        writing = true
        log.info("region coordinator writes ${edits.size} home sets and seats")
        config.write(edits, null) { result ->
            writing = false
            if (result !is WriteResult.Stored) log.info("home sets and seats not stored; the edits will be planned again")
        }
    }

    private fun onMessage(message: GossipMessage, from: PeerAddress): Unit =
        catching {
            val nowMs = clock.nowMs()
            socket.send(membership.onMessage(message, from, nowMs))
            message.config?.let { if (config.offer(it) is ConfigOffer.Gap) fetch(message.sender.address, nowMs) }
            message.storeEra?.let { table.eras.observe(it) }
            if (message.proof.version > config.replica.current.version) fetch(message.sender.address, nowMs)
            config.prove(message.proof.version, message.proof.provenAtMs)
        }

    private fun fetch(from: PeerAddress, nowMs: Long) {
        if (nowMs < nextFetchMs) return
        nextFetchMs = nowMs + FETCH_INTERVAL_MS
        fetchConfig(from, if (policy.ownsConfiguration) config.replica.current.version else 0) { delta ->
            loop.execute { catching { config.offer(delta) } }
        }
    }

    private fun onConfigChange() {
        attach()
        publishNow(clock.nowMs())
    }

    private fun attach() {
        val current = config.replica.current
        val delta = if (policy.ownsConfiguration) smallDelta(current) else null
        membership.updateAttachment(GossipAttachment(ConfigProof(current.version, config.provenAtMs), delta, table.eras.latest))
    }

    /** Returns the changes since the last call, or null if there are none or they are too large for a datagram. */
    private fun smallDelta(current: Configuration): ConfigDelta? {
        val delta = current.deltaSince(if (deltaBase == 0L) current.version else maxOf(deltaBase, current.version - MAX_DELTA_VERSIONS))
        deltaBase = current.version
        return delta.takeIf { it.entries.isNotEmpty() && it.entries.sumOf { entry -> entry.value.orEmpty().length } < MAX_DELTA_CHARS }
    }

    private fun publishNow(nowMs: Long) {
        val version = config.replica.current.version
        val changed = membership.changeCount != publishedChangeCount || version != publishedVersion
        publishedChangeCount = membership.changeCount
        publishedVersion = version
        val lastContactAtMs = maxOf(membership.lastReceivedAtMs ?: 0, config.storeAnsweredAtMs)
        val members = if (changed) membership.view.members.toList() else emptyList()
        publish(
            ControlSnapshot(
                self,
                members,
                config.replica.current.takeIf { config.replica.ready },
                config.provenAtMs,
                lastContactAtMs,
                changed,
                announcementsRead || (membership.view.size > 1 && nowMs - startedAtMs > PEER_DISCOVERY_MS),
            ),
        )
        if (changed) log.info("view members=${membership.view.size} config=$version at $nowMs")
    }

    private fun catching(action: () -> Unit) {
        runCatching(action).onFailure { log.error("unexpected error in the control event loop; report this", it) }
    }

    private companion object {
        const val TICK_MS = 100L
        const val WATCHER_POLL_INTERVAL_MS = 1_000L
        const val POLL_INTERVAL_MS = 60_000L
        const val PLAN_INTERVAL_MS = 1_000L
        const val ALONE_PLAN_DELAY_MS = 5_000L

        /** Time in which a daemon discovers the whole fleet through its peers while the store is unavailable. */
        const val PEER_DISCOVERY_MS = 3_000L

        /** Delay after which a daemon's row is written again that the store has not confirmed, in milliseconds. */
        const val ANNOUNCE_RETRY_MS = 1_000L

        /** Maximum wait for the store to confirm this daemon's row before the other rows are read. */
        const val ANNOUNCE_TIMEOUT_MS = 1_500L
        const val ALONE_SEED_INTERVAL_MS = 1_000L
        const val WATCHER_SEED_INTERVAL_MS = 30_000L

        /** Interval of daemons that are not elected watchers; equals the time for which departed members are kept. */
        const val SEED_INTERVAL_MS = 600_000L
        const val FETCH_INTERVAL_MS = 200L
        const val MAX_DELTA_VERSIONS = 8L
        const val MAX_DELTA_CHARS = 900
        const val LEAVE_ROUNDS = 4

        /** Maximum wait for the store to confirm that the row of this daemon is deleted. */
        const val WITHDRAW_TIMEOUT_MS = 50L
    }
}
