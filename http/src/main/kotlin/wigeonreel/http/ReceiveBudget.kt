package wigeonreel.http

/** Receiver of response bytes whose reading can be paused. */
internal interface Receiver {
    /** Pauses or resumes reading. */
    fun setReading(reading: Boolean)
}

/**
 * Limit on the buffered bytes of incomplete responses on all connections of one connector.
 *
 * Above [limitBytes], all receivers of large responses but one are paused, so that one of these at a time completes and frees its
 * bytes. TCP flow control then slows down the servers of the paused connections. Responses of up to [smallBytes] are never paused: they
 * complete while others never do.
 */
internal class ReceiveBudget(
    private val limitBytes: Long,
    private val smallBytes: Long = 0,
) {
    private class ReceiverState(
        var bytes: Long = 0,
        var paused: Boolean = false,
    )

    private val states = LinkedHashMap<Receiver, ReceiverState>()

    /** Bytes currently buffered by all receivers. */
    var bufferedBytes: Long = 0
        private set

    /** Records that [receiver] buffers another [bytes] bytes; pauses it if the limit is exceeded and another large one is active. */
    fun onReceived(receiver: Receiver, bytes: Int) {
        val state = states.getOrPut(receiver) { ReceiverState() }
        state.bytes += bytes
        bufferedBytes += bytes
        if (bufferedBytes <= limitBytes ||
            state.paused ||
            state.bytes <= smallBytes ||
            states.values.none { it !== state && it.isActive }
        ) {
            return
        }
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

    private val ReceiverState.isActive get() = !paused && bytes > smallBytes

    private fun resume() {
        for ((receiver, state) in states) {
            if (bufferedBytes > limitBytes && states.values.any { it.isActive }) return
            if (!state.paused) continue
            state.paused = false
            receiver.setReading(true)
        }
    }
}
