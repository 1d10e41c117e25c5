package wigeonreel.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.TooLongFrameException
import io.netty.util.internal.StringUtil

/**
 * Decodes the chunks and the trailers of one body.
 *
 * Netty's decoder reads the size 100000000 (hexadecimal) as 0, the end of the body, and skips bytes between chunks.
 */
internal class ChunkDecoder(
    private val limits: HttpLimits,
) {
    private enum class Part { SIZE, DATA, DATA_END, TRAILERS }

    private val trailerScanner = LineBlockScanner(limits.maxHeaderBytes)
    private var part = Part.SIZE
    private var chunkLeftBytes = 0
    private var dataBytes = 0L
    private var framingBytes = 0L

    /**
     * Appends the data of the chunks in [buffer] to [data]. Returns whether the body has ended.
     *
     * @throws MalformedResponseException if the chunks or the trailers violate the syntax of HTTP.
     * @throws TooLongFrameException if a chunk, a line, the trailers or all that is not data are too long.
     */
    fun decode(buffer: ByteBuf, data: ByteBuf): Boolean {
        if (part != Part.TRAILERS) {
            val input = Input(ByteBufUtil.getBytes(buffer))
            while (part != Part.TRAILERS && read(input, data)) Unit
            buffer.skipBytes(input.position)
        }
        return part == Part.TRAILERS && readTrailers(buffer)
    }

    /** Bytes that have arrived; an array, since a body may consist of millions of chunks of one byte. */
    private class Input(
        val bytes: ByteArray,
    ) {
        var position = 0
        val left: Int get() = bytes.size - position
    }

    /** Reads the next part of a chunk; returns false if its bytes have not arrived yet. */
    private fun read(input: Input, data: ByteBuf): Boolean =
        when (part) {
            Part.SIZE -> readSizeLine(input)
            Part.DATA -> readData(input, data)
            else -> readDataEnd(input)
        }

    private fun readSizeLine(input: Input): Boolean {
        val start = input.position
        var lineFeed = start
        while (lineFeed < input.bytes.size && input.bytes[lineFeed] != LINE_FEED) lineFeed++
        if (lineFeed - start > limits.maxRequestLineBytes) {
            throw TooLongFrameException("chunk size line of more than ${limits.maxRequestLineBytes} bytes")
        }
        if (lineFeed == input.bytes.size) return false
        if (lineFeed == start || input.bytes[lineFeed - 1] != CARRIAGE_RETURN) {
            throw MalformedResponseException("chunk size line without its end")
        }
        chunkLeftBytes = sizeIn(input.bytes, start, lineFeed - 1)
        countFraming(lineFeed + 1 - start + CRLF_BYTES)
        input.position = lineFeed + 1
        part = if (chunkLeftBytes == 0) Part.TRAILERS else Part.DATA
        return true
    }

    private fun sizeIn(bytes: ByteArray, start: Int, end: Int): Int {
        var size = 0L
        var index = start
        while (index < end) {
            val digit = StringUtil.decodeHexNibble(bytes[index])
            if (digit < 0) break
            size = size * HEXADECIMAL + digit
            if (size > limits.maxBodyBytes) throw TooLongFrameException("chunk of more than ${limits.maxBodyBytes} bytes")
            index++
        }
        if (index == start) throw MalformedResponseException("chunk without a size")
        while (index < end && (bytes[index] == BLANK || bytes[index] == TAB)) index++
        if (index < end && bytes[index] != SEMICOLON) throw MalformedResponseException("invalid chunk size")
        ResponseSyntax.checkText(bytes, index, end, "chunk extension")
        return size.toInt()
    }

    private fun readData(input: Input, data: ByteBuf): Boolean {
        val bytes = minOf(chunkLeftBytes, input.left)
        data.writeBytes(input.bytes, input.position, bytes)
        input.position += bytes
        dataBytes += bytes
        chunkLeftBytes -= bytes
        if (chunkLeftBytes > 0) return false
        part = Part.DATA_END
        return true
    }

    private fun readDataEnd(input: Input): Boolean {
        if (input.left < CRLF_BYTES) return false
        if (input.bytes[input.position] != CARRIAGE_RETURN || input.bytes[input.position + 1] != LINE_FEED) {
            throw MalformedResponseException("chunk data longer than its size")
        }
        input.position += CRLF_BYTES
        part = Part.SIZE
        return true
    }

    private fun readTrailers(buffer: ByteBuf): Boolean {
        val length = trailerScanner.lengthIn(buffer)
        if (length < 0) return false
        ResponseSyntax.checkTrailers(ByteBufUtil.getBytes(buffer, buffer.readerIndex(), length))
        buffer.skipBytes(length)
        return true
    }

    private fun countFraming(bytes: Int) {
        framingBytes += bytes
        if (framingBytes > limits.maxHeaderBytes + MAX_FRAMING_RATIO * dataBytes) throw TooLongFrameException("chunks with too little data")
    }

    private companion object {
        const val HEXADECIMAL = 16
        const val CRLF_BYTES = 2
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
        const val BLANK = ' '.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val SEMICOLON = ';'.code.toByte()

        /** Maximum number of bytes of size lines for one byte of data; chunks of one byte without extensions need 5. */
        const val MAX_FRAMING_RATIO = 8
    }
}
