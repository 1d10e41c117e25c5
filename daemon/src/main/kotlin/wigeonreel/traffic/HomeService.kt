package wigeonreel.traffic

import wigeonreel.daemon.Clock
import wigeonreel.kernel.Log
import wigeonreel.kernel.Service
import wigeonreel.once.Attempt
import wigeonreel.once.BlockAnswer
import wigeonreel.once.ExecutionRecords
import wigeonreel.once.HomeBinding
import wigeonreel.once.IdempotencyKey
import wigeonreel.once.OnceDecision
import wigeonreel.once.OncePolicy
import wigeonreel.once.parseIdempotencyKey
import wigeonreel.outcome.Refusal
import wigeonreel.peer.PeerClients
import wigeonreel.wire.BlockReply
import wigeonreel.wire.BlockRequest
import wigeonreel.wire.BlockState
import wigeonreel.wire.ForwardReply
import wigeonreel.wire.ForwardRequest
import wigeonreel.wire.Outcome

/** Home of idempotency keys: runs each non-idempotent request at most once on the local backend server. */
class HomeService(
    private val binding: HomeBinding,
    private val state: TrafficState,
    private val guard: GuardService,
    private val peers: PeerClients,
    private val clock: Clock,
) : Service {
    override val name = "home"
    private val log = Log("home")
    private val policy = OncePolicy()
    private val records = ExecutionRecords<ForwardReply>(binding.home, binding.incarnation, clock.nowMs(), policy)

    /** Number of execution records in memory. */
    val size: Int get() = records.size

    /** Applies the home set of the local server's service, known to be current at [provenAtMs], and evicts expired records. */
    fun onView(view: FleetView, provenAtMs: Long) {
        val service = state.server?.info?.service ?: return
        view.configuration.homeSets[service]?.let { records.updateHomeSet(it, provenAtMs) }
        records.evict(clock.nowMs())
    }

    /** Runs [request], replies with the recorded outcome of an earlier execution, or refuses it. The request can't be cancelled. */
    fun forward(request: ForwardRequest, onReply: (ForwardReply) -> Unit): () -> Unit {
        val key = parseIdempotencyKey(request.idempotencyKey).fold({ return refuse(request, it, onReply) }, { it })
        guard.refusalIfUnavailable(request)?.let { if (it != Refusal.DRAINING) return refuse(request, it, onReply) }
        val attempt = attemptOf(request, key)
        applyDecision(request, attempt, records.begin(attempt, clock.nowMs()), onReply)
        return {}
    }

    /** Handles the request of another home to block a key, and replies with the state of that key here. */
    fun block(request: BlockRequest): BlockReply {
        val key = parseIdempotencyKey(request.key).getOrNull()
        val answer = if (key == null) BlockAnswer.Unknown else records.block(request.account, key, request.homeSetVersion)
        log.decision { "block key=${request.key} account=${request.account} answer=${answer.javaClass.simpleName}" }
        return answer.toWire()
    }

    private fun applyDecision(
        request: ForwardRequest,
        attempt: Attempt<ForwardReply>,
        decision: OnceDecision<ForwardReply>,
        onReply: (ForwardReply) -> Unit,
    ) {
        log.decision { "key=${request.idempotencyKey} account=${request.account} decision=${decision.javaClass.simpleName}" }
        when (decision) {
            OnceDecision.Run -> run(request, attempt, onReply)
            is OnceDecision.Kept ->
                onReply(
                    decision.outcome
                        .toBuilder()
                        .setAttemptId(request.attemptId)
                        .build(),
                )
            is OnceDecision.Refuse -> refuse(request, decision.refusal, onReply)
            is OnceDecision.Ask -> decision.homes.forEach { requestBlock(it, request, attempt, onReply) }
        }
    }

    private fun run(request: ForwardRequest, attempt: Attempt<ForwardReply>, onReply: (ForwardReply) -> Unit) {
        guard.forward(request) { reply ->
            if (reply.outcome == Outcome.NOT_RUN) records.abandon(attempt) else records.finish(attempt, reply)
            onReply(reply)
        }
    }

    private fun requestBlock(home: String, request: ForwardRequest, attempt: Attempt<ForwardReply>, onReply: (ForwardReply) -> Unit) {
        val member = state.view?.member(home)
        val onAnswer = { answer: BlockAnswer<ForwardReply> ->
            records.onBlockAnswer(attempt, home, answer)?.let { applyDecision(request, attempt, it, onReply) }
            Unit
        }
        if (member == null) return onAnswer(BlockAnswer.Unknown)
        val blockRequest =
            BlockRequest
                .newBuilder()
                .setService(request.service)
                .setAccount(request.account)
                .setKey(request.idempotencyKey)
                .setHomeSetVersion(records.homeSetVersion)
                .build()
        peers.call(member.address, BLOCK_TIMEOUT_MS, { it.block(blockRequest) }) { reply, _ ->
            onAnswer(reply?.toCore() ?: BlockAnswer.Unknown)
        }
    }

    private fun refuse(request: ForwardRequest, refusal: Refusal, onReply: (ForwardReply) -> Unit): () -> Unit {
        onReply(refusalReply(request, refusal).build())
        return {}
    }

    private fun attemptOf(request: ForwardRequest, key: IdempotencyKey): Attempt<ForwardReply> {
        val fingerprint = 31 * (31 * request.method.hashCode() + request.uri.hashCode()) + request.body.hashCode()
        return Attempt(request.attemptId, request.account, key, fingerprint, request.sentAtMs + request.timeoutMs)
    }

    private fun BlockAnswer<ForwardReply>.toWire(): BlockReply =
        when (this) {
            BlockAnswer.Blocked -> BlockReply.newBuilder().setState(BlockState.BLOCKED).build()
            BlockAnswer.Spent -> BlockReply.newBuilder().setState(BlockState.SPENT).build()
            BlockAnswer.Running -> BlockReply.newBuilder().setState(BlockState.SEEN_RUNNING).build()
            BlockAnswer.Unknown -> BlockReply.newBuilder().setState(BlockState.RECORD_LOST).build()
            is BlockAnswer.Done ->
                BlockReply
                    .newBuilder()
                    .setState(BlockState.SEEN_DONE)
                    .setOutcome(outcome)
                    .build()
        }

    private fun BlockReply.toCore(): BlockAnswer<ForwardReply> =
        when (state) {
            BlockState.BLOCKED -> BlockAnswer.Blocked
            BlockState.SPENT -> BlockAnswer.Spent
            BlockState.SEEN_RUNNING -> BlockAnswer.Running
            BlockState.SEEN_DONE -> BlockAnswer.Done(outcome)
            BlockState.RECORD_LOST, BlockState.UNRECOGNIZED, null -> BlockAnswer.Unknown
        }

    private companion object {
        const val BLOCK_TIMEOUT_MS = 500L
    }
}
