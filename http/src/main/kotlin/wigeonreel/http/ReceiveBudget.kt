package wigeonreel.http

/** Source of bytes whose reading can be stopped for a while. */
internal interface Receiver {
    /** Stops or goes on reading. */
    fun setReading(reading: Boolean)
}

/**
 * Bytes of unfinished answers that all connections of one connector may hold together.
 *
 * Beyond [limitBytes] all receivers but one are paused, so that one answer at a time is finished and frees its bytes. A
 * paused server feels it through its socket.
 */
internal class ReceiveBudget(
    private val limitBytes: Long,
) {
    private class Holding(
        var bytes: Long = 0,
        var paused: Boolean = false,
    )

    private val holdings = LinkedHashMap<Receiver, Holding>()

    /** Bytes held now. */
    var heldBytes: Long = 0
        private set

    /** Notes [bytes] more in the hands of [receiver]. */
    fun onReceived(receiver: Receiver, bytes: Int) {
        val holding = holdings.getOrPut(receiver) { Holding() }
        holding.bytes += bytes
        heldBytes += bytes
        if (heldBytes <= limitBytes || holding.paused || holdings.values.count { !it.paused } == 1) return
        holding.paused = true
        receiver.setReading(false)
    }

    /** Notes that [receiver] holds nothing any more. */
    fun release(receiver: Receiver) {
        val holding = holdings.remove(receiver) ?: return
        heldBytes -= holding.bytes
        if (holding.paused) receiver.setReading(true)
        resume()
    }

    private fun resume() {
        for ((receiver, holding) in holdings) {
            if (heldBytes > limitBytes && holdings.values.any { !it.paused }) return
            if (!holding.paused) continue
            holding.paused = false
            receiver.setReading(true)
        }
    }
}
