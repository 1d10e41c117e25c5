package wigeonreel.http

import io.netty.buffer.ByteBuf

/** Bytes of a body that arrives in parts of any size, copied into segments that grow with the body. */
internal class BodyBuffer {
    private val segments = ArrayList<ByteArray>()
    private var lastSegmentBytes = 0

    /** Number of bytes of the body. */
    var size = 0
        private set

    /** Copies and consumes the readable bytes of [part]. */
    fun append(part: ByteBuf) {
        while (part.isReadable) {
            if (segments.isEmpty() || lastSegmentBytes == segments.last().size) {
                segments += ByteArray(maxOf(part.readableBytes(), minOf(size, MAX_SLACK_BYTES)))
                lastSegmentBytes = 0
            }
            val segment = segments.last()
            val bytes = minOf(part.readableBytes(), segment.size - lastSegmentBytes)
            part.readBytes(segment, lastSegmentBytes, bytes)
            lastSegmentBytes += bytes
            size += bytes
        }
    }

    /** Returns the bytes of the body; the buffer must not be used afterwards. */
    fun toByteArray(): ByteArray {
        val only = segments.singleOrNull()
        if (only != null && only.size == size) return only
        val body = ByteArray(size)
        var copied = 0
        for (segment in segments) {
            val bytes = minOf(segment.size, size - copied)
            segment.copyInto(body, copied, 0, bytes)
            copied += bytes
        }
        return body
    }

    private companion object {
        const val MAX_SLACK_BYTES = 16_384
    }
}
