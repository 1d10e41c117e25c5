package wigeonreel.standin

import wigeonreel.http.HttpRequest

/** Faults of the table service that a scenario turns on. */
enum class StoreFault { NONE, OUTAGE, BUSY, SILENT, SLOW, LOSE_ANSWERS, LATE_WRITES, FORGET }

/**
 * Faults of one stand-in.
 *
 * @param delayMs delay of answers under [StoreFault.SLOW] and of writes under [StoreFault.LATE_WRITES], in milliseconds.
 */
data class StoreFaults(
    val fault: StoreFault = StoreFault.NONE,
    val delayMs: Long = 2_000,
)

/** Reads the faults named in a request such as `/_fault?mode=slow&ms=500`; returns null when the mode is unknown. */
fun parseStoreFaults(request: HttpRequest): StoreFaults? {
    val mode = request.query("mode")?.uppercase()?.replace('-', '_')
    val fault = StoreFault.entries.firstOrNull { it.name == mode } ?: return null
    return StoreFaults(fault, request.query("ms")?.toLongOrNull() ?: StoreFaults().delayMs)
}
