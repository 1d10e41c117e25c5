package wigeonreel.processes

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** What a client saw at the end of an attempt. */
enum class AttemptEnd {
    /** A complete response. */
    ANSWERED,

    /** The connection was closed in order, before or within the response. */
    CLOSED,

    /** The connection was reset. */
    RESET,

    /** Nothing arrived until the client gave up, and the connection stayed open. */
    SILENT,

    /** The connection failed before the whole request was sent. */
    NOT_SENT,
}

/** How a route's requests may be repeated and whom they are charged to. */
data class Route(
    val name: String,
    val service: String,
    val idempotent: Boolean,
    val open: Boolean,
    val timeoutMs: Long,
)

/**
 * One attempt of a client or of a server that makes a call. Times are in milliseconds since the start of the run.
 *
 * @param vm VM that takes the request from its client.
 * @param reused whether the connection had carried a request before.
 * @param sentAtMs time at which the last byte was sent.
 * @param deadlineMs time until which the client waits.
 * @param signed whether the response is a server's own.
 * @param foreign whether the response belongs to another request, or is a success that isn't the server's whole response.
 */
data class Attempt(
    val id: String,
    val vm: String,
    val route: Route,
    val reused: Boolean,
    val sentAtMs: Long,
    val deadlineMs: Long,
    val endedAtMs: Long,
    val end: AttemptEnd,
    val status: Int = 0,
    val signed: Boolean = false,
    val foreign: Boolean = false,
    val detail: String = "",
) {
    /** Whether the attempt ended without a complete response. */
    val unanswered: Boolean get() = end == AttemptEnd.CLOSED || end == AttemptEnd.RESET || end == AttemptEnd.SILENT
}

/**
 * One execution of an attempt by a server.
 *
 * @param endedAtMs end of the work, or null while the server is at work.
 * @param spoiled whether the server itself broke off or spoiled its response.
 */
class Run(
    val attemptId: String,
    val vm: String,
    val startedAtMs: Long,
    val keySeen: Boolean,
) {
    @Volatile
    var endedAtMs: Long? = null

    @Volatile
    var spoiled = false
}

/** Kinds of disruptions that a run plays. */
enum class DisruptionKind(
    val planned: Boolean,
) {
    TERM(planned = true),
    HUP(planned = true),
    CONFIG(planned = true),
    LEAVE(planned = true),
    KILL(planned = false),
    FREEZE(planned = false),
    SERVER(planned = false),
    STORE(planned = false),
}

/** Disruption of [vm], or of the store or the whole fleet if that is null. */
data class Disruption(
    val kind: DisruptionKind,
    val vm: String?,
    val startMs: Long,
    val endMs: Long,
)

/** What clients and servers saw during a run, and what was done to the fleet. */
class Records {
    val attempts = ConcurrentLinkedQueue<Attempt>()
    val disruptions = ConcurrentLinkedQueue<Disruption>()

    /** Processes that ended although the run sent them no signal. */
    val unexpectedEnds = ConcurrentLinkedQueue<String>()

    /** Processes that were still there at the end of the grace period. */
    val overruns = ConcurrentLinkedQueue<String>()
    private val runsById = ConcurrentHashMap<String, ConcurrentLinkedQueue<Run>>()

    fun add(run: Run) {
        runsById.getOrPut(run.attemptId) { ConcurrentLinkedQueue() } += run
    }

    /** Executions of the attempt [id]. */
    fun runsOf(id: String): List<Run> = runsById[id]?.toList().orEmpty()
}
