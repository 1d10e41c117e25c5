package wigeonreel.http

/** Receiver of response bytes whose reading can be paused. */
internal interface Receiver {
    /** Pauses or resumes reading. */
    fun setReading(reading: Boolean)
}

/**
 * Limit on the buffered bytes of incomplete responses on all connections of one connector.
 *
 * Above [limitBytes], all receivers but one are paused, so that one response at a time completes and frees its bytes.
 * TCP flow control then slows down the servers of the paused connections.
 */
internal class ReceiveBudget(
    private val limitBytes: Long,
) {
    private class ReceiverState(
        var bytes: Long = 0,
        var paused: Boolean = false,
    )

    private val states = LinkedHashMap<Receiver, ReceiverState>()

    /** Bytes currently buffered by all receivers. */
    var bufferedBytes: Long = 0
        private set

    /** Records that [receiver] buffers another [bytes] bytes; pauses it if the limit is exceeded and another receiver is active. */
    fun onReceived(receiver: Receiver, bytes: Int) {
        val state = states.getOrPut(receiver) { ReceiverState() }
        state.bytes += bytes
        bufferedBytes += bytes
        if (bufferedBytes <= limitBytes || state.paused || states.values.count { !it.paused } == 1) return
        state.paused = true
        receiver.setReading(false)
    }

    /** Records that [receiver] has released its bytes; resumes paused receivers as far as the limit permits. */
    fun release(receiver: Receiver) {
        val state = states.remove(receiver) ?: return
        bufferedBytes -= state.bytes
        if (state.paused) receiver.setReading(true)
        resume()
    }

    private fun resume() {
        for ((receiver, state) in states) {
            if (bufferedBytes > limitBytes && states.values.any { !it.paused }) return
            if (!state.paused) continue
            state.paused = false
            receiver.setReading(true)
        }
    }
}
