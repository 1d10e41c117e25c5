package wigeonreel.standin

import wigeonreel.http.HttpRequest

/** Faults that a scenario can inject into the table service. [FORGET], [COPY] and [RESTORE] take effect once. */
enum class StoreFault { NONE, OUTAGE, BUSY, SILENT, SLOW, LOSE_ANSWERS, LATE_WRITES, FORGET, COPY, RESTORE }

/**
 * Active fault of one table service.
 *
 * @param delayMs delay of responses under [StoreFault.SLOW] and of writes under [StoreFault.LATE_WRITES], in milliseconds.
 */
data class StoreFaults(
    val fault: StoreFault = StoreFault.NONE,
    val delayMs: Long = 2_000,
)

/** Parses a request such as `/_fault?mode=slow&ms=500`. Returns null if the mode is unknown. */
fun parseStoreFaults(request: HttpRequest): StoreFaults? {
    val mode = request.query("mode")?.uppercase()?.replace('-', '_')
    val fault = StoreFault.entries.firstOrNull { it.name == mode } ?: return null
    return StoreFaults(fault, request.query("ms")?.toLongOrNull() ?: StoreFaults().delayMs)
}
