package wigeonreel.admission

/** Time for which a request and the calls below it held slots of the servers of [service], in milliseconds. */
data class ServiceUse(
    val service: String,
    val slotMs: Double,
)

/** Returns the use of two requests together. */
fun List<ServiceUse>.plusUses(others: List<ServiceUse>): List<ServiceUse> {
    if (isEmpty()) return others
    val added = others.filter { other -> none { it.service == other.service } }
    return map { use -> others.firstOrNull { it.service == use.service }?.let { use.copy(slotMs = use.slotMs + it.slotMs) } ?: use } + added
}
