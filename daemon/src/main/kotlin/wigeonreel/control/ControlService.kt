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
import wigeonreel.steward.StewardPolicy
import wigeonreel.steward.WatcherElection
import wigeonreel.steward.isSteward
import wigeonreel.steward.planStewardship
import wigeonreel.store.TableService
import java.net.InetSocketAddress
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What the control duty publishes to the traffic duty. */
class Publication(
    val self: Member,
    val members: List<Member>,
    val configuration: Configuration?,
    val provenAtMs: Long,
    val heardAtMs: Long,
    val changed: Boolean,
    val announcementsRead: Boolean,
) {
    /** Addresses of the daemons that take part. */
    val liveAddresses: Set<PeerAddress> get() = members.filter { it.live }.mapTo(HashSet()) { it.address }
}

/**
 * What a control duty does besides membership.
 *
 * @param format configuration in the store.
 * @param ownsConfiguration whether daemons write home sets and seats into the configuration and push small changes of it;
 *   otherwise the platform's operators write it whole, and daemons watch the store and fetch whole versions from peers.
 */
class ControlPolicy(
    val format: ConfigFormat = OWN_FORMAT,
    val ownsConfiguration: Boolean = true,
)

/** Control duty: membership, configuration, stewardship. Its functions belong to the control thread. */
class ControlService(
    private val loop: EventLoopGroup,
    self: Member,
    table: TableService,
    private val clock: Clock,
    private val policy: ControlPolicy,
    private val fetchConfig: (PeerAddress, Long, (ConfigDelta) -> Unit) -> Unit,
    private val publish: (Publication) -> Unit,
) : Service {
    override val name = "control"
    private val log = Log("control")
    private val membership = Membership(self, MembershipPolicy(), Random(ThreadLocalRandom.current().nextLong()))
    private val registry = MemberRegistry(table)
    private val socket: GossipSocket =
        GossipSocket(loop, InetSocketAddress(self.address.host, self.address.port)) { message, from -> onMessage(message, from) }
    private var publishedChanges = -1L
    private var publishedVersion = -1L
    private var nextPollMs = 0L
    private var announced = false
    private var announcementsRead = false
    private val startedAtMs = clock.nowMs()
    private val watch = WatcherElection(startedAtMs)
    private var watchedChanges = -1L
    private var nextSeedsMs = startedAtMs + UNCONFIRMED_SEEDS_MS
    private var nextStewardMs = 0L
    private var writing = false
    private var fetchingUntilMs = 0L
    private var deltaBase = 0L

    /** Configuration of this daemon. */
    val keeper = ConfigKeeper(table, clock, policy.format) { onConfigChange() }

    /** Members of the fleet as known here. */
    val members: Collection<Member> get() = membership.view.members

    /** This daemon. */
    val self: Member get() = membership.self

    /** Bytes that the membership protocol sent. */
    val sentBytes: Long get() = socket.sentBytes

    /** Bytes that the membership protocol received. */
    val receivedBytes: Long get() = socket.receivedBytes

    override fun start() {
        socket.open()
        loop.submit { begin() }.sync()
        loop.scheduleAtFixedRate({ guarded { tick() } }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
    }

    override fun stop() {
        loop.submit { leave(MemberState.LEFT) }.sync()
        Thread.sleep(LEAVE_SEND_MS)
        socket.close()
    }

    /** Announces the local server to the fleet. */
    fun announce(server: ServerInfo?) = membership.announce(server, membership.self.state)

    /** Tells the fleet that this daemon leaves or has left. */
    fun leave(state: MemberState) {
        membership.announce(membership.self.server?.copy(ready = false), state)
        if (state == MemberState.LEFT) registry.withdraw(membership.self)
        repeat(LEAVE_ROUNDS) { socket.send(membership.tick(clock.nowMs() + it * TICK_MS * 2)) }
    }

    /** Takes evidence that a daemon does not answer requests. */
    fun onUnreachable(id: String) = membership.onUnreachable(id, clock.nowMs())

    /** Takes a configuration delta from a peer; returns the version in force. */
    fun offerConfig(delta: ConfigDelta): Long {
        keeper.offer(delta)
        return keeper.replica.current.version
    }

    private fun begin() {
        record()
        if (policy.ownsConfiguration) keeper.poll()
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        socket.send(membership.tick(nowMs))
        chooseWatchers()
        if (nowMs >= nextSeedsMs) readSeeds(nowMs)
        if (policy.ownsConfiguration) {
            if (nowMs >= nextPollMs) poll(nowMs)
            if (nowMs >= nextStewardMs) steward(nowMs)
        } else {
            watch.onProof(keeper.provenAtMs, nowMs)
            if (!keeper.replica.ready || watch.shouldWatch(nowMs)) keeper.follow(nowMs)
            attach()
        }
        publishNow(nowMs)
    }

    private fun chooseWatchers() {
        if (membership.changeCount == watchedChanges) return
        watchedChanges = membership.changeCount
        watch.onMembers(self, members)
    }

    private fun poll(nowMs: Long) {
        val intervalMs = if (!keeper.replica.ready || watch.elected) POLLER_INTERVAL_MS else OTHERS_INTERVAL_MS
        nextPollMs = nowMs + intervalMs / 2 + ThreadLocalRandom.current().nextLong(intervalMs)
        keeper.poll { attach() }
    }

    /** Of two daemons that each read after their own row is written, at least one finds the other. */
    private fun record() =
        registry.announce(membership.self) {
            announced = true
            nextSeedsMs = clock.nowMs()
        }

    /** A rare read by few joins parts of a fleet that lost each other. */
    private fun readSeeds(nowMs: Long) {
        nextSeedsMs = nowMs + SEEDS_ALONE_MS
        if (!announced) record()
        registry.readSeeds { seeds ->
            announcementsRead = true
            membership.seed(seeds.filter { it.id != self.id }, clock.nowMs())
            val alone = members.none { it.live && it.id != self.id }
            if (!alone) nextSeedsMs = clock.nowMs() + if (watch.elected) SEEDS_MS else SEEDS_OF_OTHERS_MS
        }
    }

    private fun steward(nowMs: Long) {
        nextStewardMs = nowMs + STEWARD_INTERVAL_MS
        val settled = membership.view.size > 1 || nowMs - self.incarnation > STEWARD_ALONE_AFTER_MS
        if (writing || !settled || !keeper.replica.ready || !isSteward(self, members)) return
        val edits = planStewardship(self, members, keeper.replica.current, StewardPolicy(), nowMs)
        if (edits.isEmpty()) return
        writing = true
        log.info("steward writes ${edits.size} home sets and seats")
        keeper.write(edits, null) { result ->
            writing = false
            if (result !is WriteResult.Stored) log.info("the steward's write is not stored; it is planned again")
        }
    }

    private fun onMessage(message: GossipMessage, from: PeerAddress): Unit =
        guarded {
            val nowMs = clock.nowMs()
            socket.send(membership.onMessage(message, from, nowMs))
            message.config?.let { if (keeper.offer(it) is ConfigOffer.Gap) fetch(message.sender.address, nowMs) }
            if (message.proof.version > keeper.replica.current.version) fetch(message.sender.address, nowMs)
            keeper.prove(message.proof.version, message.proof.provenAtMs)
        }

    private fun fetch(from: PeerAddress, nowMs: Long) {
        if (nowMs < fetchingUntilMs) return
        fetchingUntilMs = nowMs + FETCH_INTERVAL_MS
        fetchConfig(from, if (policy.ownsConfiguration) keeper.replica.current.version else 0) { delta ->
            loop.execute { guarded { keeper.offer(delta) } }
        }
    }

    private fun onConfigChange() {
        attach()
        publishNow(clock.nowMs())
    }

    private fun attach() {
        val current = keeper.replica.current
        val delta = if (policy.ownsConfiguration) smallDelta(current) else null
        membership.updateAttachment(GossipAttachment(ConfigProof(current.version, keeper.provenAtMs), delta))
    }

    /** Returns what changed since the last call, or null when that is nothing or too much for a datagram. */
    private fun smallDelta(current: Configuration): ConfigDelta? {
        val delta = current.deltaSince(if (deltaBase == 0L) current.version else maxOf(deltaBase, current.version - DELTA_VERSIONS))
        deltaBase = current.version
        return delta.takeIf { it.entries.isNotEmpty() && it.entries.sumOf { entry -> entry.value.orEmpty().length } < MAX_DELTA_CHARS }
    }

    private fun publishNow(nowMs: Long) {
        val version = keeper.replica.current.version
        val changed = membership.changeCount != publishedChanges || version != publishedVersion
        publishedChanges = membership.changeCount
        publishedVersion = version
        val heardAtMs = maxOf(membership.lastReceivedAtMs ?: 0, keeper.storeHeardAtMs)
        val members = if (changed) membership.view.members.toList() else emptyList()
        publish(
            Publication(
                self,
                members,
                keeper.replica.current.takeIf { keeper.replica.ready },
                keeper.provenAtMs,
                heardAtMs,
                changed,
                announcementsRead || (membership.view.size > 1 && nowMs - startedAtMs > MEETING_MS),
            ),
        )
        if (changed) log.info("view members=${membership.view.size} config=$version at $nowMs")
    }

    private fun guarded(action: () -> Unit) {
        runCatching(action).onFailure { log.error("the control duty failed; report this", it) }
    }

    private companion object {
        const val TICK_MS = 100L
        const val POLLER_INTERVAL_MS = 1_000L
        const val OTHERS_INTERVAL_MS = 60_000L
        const val STEWARD_INTERVAL_MS = 1_000L
        const val STEWARD_ALONE_AFTER_MS = 5_000L

        /** Time in which a daemon meets the whole fleet through its peers when the store is away, in milliseconds. */
        const val MEETING_MS = 3_000L

        /** Wait for the store to confirm this daemon's own row before the others are read all the same, in milliseconds. */
        const val UNCONFIRMED_SEEDS_MS = 1_500L
        const val SEEDS_ALONE_MS = 1_000L
        const val SEEDS_MS = 30_000L

        /** Interval of daemons that do not watch for their failure domain: as long as departed daemons are remembered. */
        const val SEEDS_OF_OTHERS_MS = 600_000L
        const val FETCH_INTERVAL_MS = 200L
        const val DELTA_VERSIONS = 8L
        const val MAX_DELTA_CHARS = 900
        const val LEAVE_ROUNDS = 4
        const val LEAVE_SEND_MS = 50L
    }
}
