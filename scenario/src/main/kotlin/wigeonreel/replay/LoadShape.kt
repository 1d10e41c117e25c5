package wigeonreel.replay

/**
 * Type of request and the calls that it makes.
 *
 * @param workMs mean service time on a server of speed 1, excluding nested calls.
 * @param worth value of a response within [objectiveMs].
 * @param lateWorth value of a response after [objectiveMs] but within [timeoutMs].
 * @param attemptTimeoutMs time limit of one attempt.
 * @param calls nested calls; the request fails with the first call that fails.
 * @param callsOverlapWork whether the nested calls are made at once and overlap with the request's own work. Otherwise they
 *   are made one after the other before it.
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
    val attemptTimeoutMs: Long = timeoutMs,
)

/** Arrival rate of requests of [kind], over the whole fleet. */
internal class Demand(
    val kind: RequestKind,
    val requestsPerSecond: Double,
)

/** Servers of one service: their number in each failure domain, the slots of each server, and the speeds that they have in turn. */
internal class ServiceShape(
    val name: String,
    val serversPerDomain: List<Int>,
    val slots: Int,
    val speeds: List<Double> = listOf(0.6, 1.0, 1.4, 0.7, 1.6),
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
 * @param faultyServices services whose servers are affected by the faults below.
 * @param slowShare share of the servers of [faultyServices] that take [slowFactor] times as long within [faultSpan].
 * @param lostShare share of the servers of [faultyServices] that are down within [faultSpan].
 * @param shedShare share of the requests that these servers reject without running them within [faultSpan].
 * @param unansweredShare share of the requests whose response is lost after one of these servers ran them within [faultSpan].
 */
internal data class LoadShape(
    val name: String,
    val services: List<ServiceShape>,
    val demand: List<Demand>,
    val surge: Double = 1.0,
    val surgeSpan: Span = Span(4_000, 16_000),
    val immediateRetryShare: Double = 0.0,
    val immediateRetrySpan: Span = Span(6_000, 11_000),
    val faultyServices: Set<String> = emptySet(),
    val slowShare: Double = 0.0,
    val slowFactor: Double = 1.0,
    val lostShare: Double = 0.0,
    val shedShare: Double = 0.0,
    val unansweredShare: Double = 0.0,
    val faultSpan: Span = Span(8_000, 14_000),
    val durationMs: Long = 20_000,
) {
    /** Names of all services. */
    val serviceNames: Set<String> get() = services.mapTo(HashSet()) { it.name }
}

/** Named load patterns, each with the fleet that it is replayed on. */
internal object LoadShapes {
    private val chain = chainFleet()
    private val fanOut = fanOutFleet()

    val all =
        listOf(
            chain,
            chain.copy(name = "surge", surge = 1.7),
            chain.copy(name = "retry-storm", surge = 2.2, immediateRetryShare = 0.4),
            chain.copy(name = "flood", surge = 3.5),
            chain.copy(name = "deep-lost", surge = 1.4, faultyServices = setOf("deep"), lostShare = 0.3),
            chain.copy(name = "deep-slow", surge = 1.2, faultyServices = setOf("deep"), slowShare = 0.3, slowFactor = 5.0),
            chain.copy(name = "deep-sheds", faultyServices = setOf("deep"), shedShare = 0.3),
            chain.copy(name = "front-slow", faultyServices = setOf("front"), slowShare = 0.4, slowFactor = 8.0),
            fanOut,
            fanOut.copy(name = "fan-out-surge", surge = 1.7),
            fanOut.copy(name = "fan-out-flood", surge = 3.0, immediateRetryShare = 0.4),
            fanOut.copy(name = "fan-out-lost", faultyServices = setOf("deep"), lostShare = 0.5),
            fanOut.copy(name = "fan-out-slow", faultyServices = fanOut.serviceNames, slowShare = 0.4, slowFactor = 12.0),
            fanOut.copy(name = "fan-out-unanswered", faultyServices = fanOut.serviceNames, unansweredShare = 0.02),
        )

    /** Fleet of 94 VMs in eight failure domains. The service at the end of the call chains has the least capacity. */
    private fun chainFleet(): LoadShape {
        val services =
            listOf(
                ServiceShape("front", listOf(4, 4, 4, 4, 4, 4, 4, 4), slots = 30),
                ServiceShape("desk", listOf(4, 3, 4, 3, 4, 3, 4, 3), slots = 30),
                ServiceShape("store", listOf(2, 1, 1, 1, 1, 1, 1, 2), slots = 40),
                ServiceShape("deep", listOf(3, 4, 2, 3, 4, 2, 3, 3), slots = 9),
            )
        val map = RequestKind("map", "deep", 60.0, objectiveMs = 300, timeoutMs = 700)
        val index = RequestKind("index", "store", 15.0, objectiveMs = 800, timeoutMs = 2_000, calls = List(4) { map })
        val ledger = RequestKind("ledger", "desk", 15.0, objectiveMs = 1_000, timeoutMs = 2_500, calls = listOf(index))
        val lookup =
            RequestKind(
                "lookup",
                "front",
                250.0,
                2_000,
                5_000,
                worth = 1.0,
                lateWorth = 0.3,
                calls = listOf(ledger),
                callsOverlapWork = true,
            )
        val booking =
            RequestKind(
                "booking",
                "desk",
                320.0,
                2_000,
                5_000,
                0,
                worth = 3.0,
                lateWorth = 0.6,
                calls = listOf(index),
                callsOverlapWork = true,
            )
        val upload = RequestKind("upload", "store", 300.0, 1_200, 5_000, 1, worth = 2.0, lateWorth = 0.6)
        val view = RequestKind("view", "deep", 1_000.0, 3_000, 12_000, worth = 1.0, lateWorth = 0.3)
        return LoadShape("calm", services, listOf(Demand(lookup, 150.0), Demand(booking, 75.0), Demand(upload, 25.0), Demand(view, 35.0)))
    }

    /**
     * Fleet of 18 VMs in four failure domains. A lookup fans out into eight reads at the service with the least capacity, which
     * together occupy it for twice as long as an order of three times the worth does.
     */
    private fun fanOutFleet(): LoadShape {
        val services =
            listOf(
                ServiceShape("front", listOf(2, 2, 1, 1), slots = 36, speeds = listOf(0.6, 1.0, 1.4)),
                ServiceShape("desk", listOf(1, 1, 1, 1), slots = 47, speeds = listOf(0.6, 1.0, 1.4)),
                ServiceShape("store", listOf(1, 1, 1, 1), slots = 47, speeds = listOf(0.7, 0.7, 1.6)),
                ServiceShape("deep", listOf(1, 1, 1, 1), slots = 16, speeds = listOf(0.5, 1.0, 1.0, 1.5)),
            )
        val read = RequestKind("read", "deep", 55.0, objectiveMs = 300, timeoutMs = 700)
        val index = RequestKind("index", "store", 15.0, objectiveMs = 800, timeoutMs = 2_000, calls = List(4) { read })
        val check = RequestKind("check", "desk", 15.0, objectiveMs = 1_000, timeoutMs = 2_500, calls = listOf(index))
        val lookup =
            RequestKind(
                "lookup",
                "front",
                220.0,
                objectiveMs = 1_500,
                timeoutMs = 5_000,
                worth = 1.0,
                lateWorth = 0.3,
                calls = List(2) { check },
                callsOverlapWork = true,
                attemptTimeoutMs = 1_200,
            )
        val order =
            RequestKind(
                "order",
                "desk",
                290.0,
                objectiveMs = 2_000,
                timeoutMs = 5_000,
                priority = 0,
                worth = 3.0,
                lateWorth = 0.6,
                calls = listOf(index),
                callsOverlapWork = true,
                attemptTimeoutMs = 1_500,
            )
        val sheet = RequestKind("sheet", "store", 180.0, 600, 2_500, worth = 1.0, lateWorth = 0.3)
        val charge = RequestKind("charge", "deep", 180.0, 500, 2_000, worth = 1.0, lateWorth = 0.3, attemptTimeoutMs = 1_000)
        return LoadShape("fan-out", services, listOf(Demand(lookup, 94.0), Demand(order, 24.0), Demand(sheet, 9.0), Demand(charge, 11.0)))
    }
}
