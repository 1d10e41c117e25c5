package wigeonreel.replay

/**
 * Type of request and the calls that it makes.
 *
 * @param workMs mean service time on a server of speed 1, excluding nested calls.
 * @param worth value of a response within [objectiveMs].
 * @param lateWorth value of a response after [objectiveMs] but within [timeoutMs].
 * @param calls nested calls, made sequentially; the request fails with the first call that fails.
 * @param callsOverlapWork whether the nested calls overlap with the request's own work instead of preceding it.
 */
internal class RequestKind(
    val name: String,
    val service: String,
    val workMs: Double,
    val objectiveMs: Long,
    val timeoutMs: Long,
    val priority: Int = 2,
    val worth: Double = 0.0,
    val lateWorth: Double = 0.0,
    val calls: List<RequestKind> = emptyList(),
    val callsOverlapWork: Boolean = false,
)

/** Arrival rate of requests of [kind], over the whole fleet. */
internal class Demand(
    val kind: RequestKind,
    val requestsPerSecond: Double,
)

/** Servers of one service: their number in each failure domain, and the slots of each server. */
internal class ServiceShape(
    val name: String,
    val serversPerDomain: List<Int>,
    val slots: Int,
)

/** Half-open time span, in milliseconds since the start of a replay. */
internal class Span(
    val fromMs: Long,
    val toMs: Long,
) {
    operator fun contains(atMs: Long) = atMs in fromMs until toMs
}

/**
 * Fleet and load of a replay.
 *
 * @param surge factor applied to all demand within [surgeSpan].
 * @param immediateRetryShare share of the clients that retry immediately, up to three times, within [immediateRetrySpan].
 * @param faultyService service whose servers are affected by the faults below.
 * @param slowShare share of the servers of [faultyService] that take [slowFactor] times as long within [faultSpan].
 * @param lostShare share of the servers of [faultyService] that are down within [faultSpan].
 * @param shedShare share of the requests that the servers of [faultyService] reject without running them within [faultSpan].
 */
internal data class LoadShape(
    val name: String,
    val services: List<ServiceShape>,
    val demand: List<Demand>,
    val surge: Double = 1.0,
    val surgeSpan: Span = Span(4_000, 16_000),
    val immediateRetryShare: Double = 0.0,
    val immediateRetrySpan: Span = Span(6_000, 11_000),
    val faultyService: String = "",
    val slowShare: Double = 0.0,
    val slowFactor: Double = 1.0,
    val lostShare: Double = 0.0,
    val shedShare: Double = 0.0,
    val faultSpan: Span = Span(8_000, 14_000),
    val durationMs: Long = 20_000,
)

/**
 * Named load patterns for a fleet of 94 VMs in eight failure domains.
 *
 * The service at the end of the call chains has the least capacity.
 */
internal object LoadShapes {
    private val services =
        listOf(
            ServiceShape("front", listOf(4, 4, 4, 4, 4, 4, 4, 4), slots = 30),
            ServiceShape("desk", listOf(4, 3, 4, 3, 4, 3, 4, 3), slots = 30),
            ServiceShape("store", listOf(2, 1, 1, 1, 1, 1, 1, 2), slots = 40),
            ServiceShape("deep", listOf(3, 4, 2, 3, 4, 2, 3, 3), slots = 9),
        )
    private val map = RequestKind("map", "deep", 60.0, objectiveMs = 300, timeoutMs = 700)
    private val index = RequestKind("index", "store", 15.0, objectiveMs = 800, timeoutMs = 2_000, calls = List(4) { map })
    private val ledger = RequestKind("ledger", "desk", 15.0, objectiveMs = 1_000, timeoutMs = 2_500, calls = listOf(index))
    private val lookup =
        RequestKind("lookup", "front", 250.0, 2_000, 5_000, worth = 1.0, lateWorth = 0.3, calls = listOf(ledger), callsOverlapWork = true)
    private val booking =
        RequestKind("booking", "desk", 320.0, 2_000, 5_000, 0, worth = 3.0, lateWorth = 0.6, calls = listOf(index), callsOverlapWork = true)
    private val upload = RequestKind("upload", "store", 300.0, 1_200, 5_000, 1, worth = 2.0, lateWorth = 0.6)
    private val view = RequestKind("view", "deep", 1_000.0, 3_000, 12_000, worth = 1.0, lateWorth = 0.3)

    private val demand = listOf(Demand(lookup, 150.0), Demand(booking, 75.0), Demand(upload, 25.0), Demand(view, 35.0))
    private val calm = LoadShape("calm", services, demand)

    val all =
        listOf(
            calm,
            calm.copy(name = "surge", surge = 1.7),
            calm.copy(name = "retry-storm", surge = 2.2, immediateRetryShare = 0.4),
            calm.copy(name = "flood", surge = 3.5),
            calm.copy(name = "deep-lost", surge = 1.4, faultyService = "deep", lostShare = 0.3),
            calm.copy(name = "deep-slow", surge = 1.2, faultyService = "deep", slowShare = 0.3, slowFactor = 5.0),
            calm.copy(name = "deep-sheds", faultyService = "deep", shedShare = 0.3),
            calm.copy(name = "front-slow", faultyService = "front", slowShare = 0.4, slowFactor = 8.0),
        )
}
