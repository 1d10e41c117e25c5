package wigeonreel.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.TooLongHttpHeaderException

/** Signals a response that breaks the syntax of HTTP/1.1. */
internal class MalformedResponseException(
    message: String,
) : DecoderException(message)

/**
 * Syntax of the heads and trailers of responses (RFC 9112), which Netty's decoder checks only in part.
 *
 * The functions throw [MalformedResponseException] if the syntax is violated.
 */
internal object ResponseSyntax {
    private const val MAX_BYTE = 0xff
    private const val DELETE = 0x7f
    private val STATUS_LINE = Regex("""HTTP/1\.[0-9] [1-5][0-9]{2}( .*)?""", RegexOption.DOT_MATCHES_ALL)

    /** Bytes of field names. */
    private val TOKEN_BYTES = ByteSet { it.toChar() in "!#$%&'*+-.^_`|~" || it in '0'.code..'9'.code || it or 0x20 in 'a'.code..'z'.code }

    /** Bytes of field values, reason phrases and chunk extensions. */
    private val TEXT_BYTES = ByteSet { it == '\t'.code || (it >= ' '.code && it != DELETE) }

    /** Checks a status line and the field lines that follow it. */
    fun checkHead(head: ByteArray) {
        val lines = Lines(head)
        val statusLine = lines.next() ?: throw MalformedResponseException("no status line")
        checkText(head, statusLine.first, statusLine.last + 1, "status line")
        val text = String(head, statusLine.first, statusLine.last + 1 - statusLine.first, Charsets.ISO_8859_1)
        if (!STATUS_LINE.matches(text)) throw MalformedResponseException("invalid status line")
        checkFields(head, lines)
    }

    /** Checks the field lines of trailers. */
    fun checkTrailers(trailers: ByteArray) = checkFields(trailers, Lines(trailers))

    /** Checks the bytes of [text] from [from] until [until]; [place] is named in the error. */
    fun checkText(text: ByteArray, from: Int, until: Int, place: String) = check(TEXT_BYTES, text, from, until, place)

    private fun checkFields(block: ByteArray, lines: Lines) {
        var first = true
        while (true) {
            val line = lines.next() ?: return
            if (line.isEmpty()) return
            val folded = block[line.first] == ' '.code.toByte() || block[line.first] == '\t'.code.toByte()
            if (folded && first) throw MalformedResponseException("folded line without a field")
            val colon = if (folded) line.first - 1 else line.firstOrNull { block[it] == ':'.code.toByte() }
            if (colon == null || colon == line.first) throw MalformedResponseException("field without a name")
            check(TOKEN_BYTES, block, line.first, colon, "field name")
            checkText(block, colon + 1, line.last + 1, "field value")
            first = false
        }
    }

    private fun check(
        allowed: ByteSet,
        text: ByteArray,
        from: Int,
        until: Int,
        place: String,
    ) {
        for (index in from until until) {
            if (text[index] !in allowed) throw MalformedResponseException("byte ${text[index].toInt() and MAX_BYTE} in a $place")
        }
    }

    /** Lines of [block] as ranges without their ends, which are a line feed or a carriage return and a line feed. */
    private class Lines(
        private val block: ByteArray,
    ) {
        private var start = 0

        /** Returns the next line, or null after the last one. */
        fun next(): IntRange? {
            var end = start
            while (end < block.size && block[end] != '\n'.code.toByte()) end++
            if (end == block.size) return null
            val until = if (end > start && block[end - 1] == '\r'.code.toByte()) end - 1 else end
            return (start until until).also { start = end + 1 }
        }
    }

    private class ByteSet(
        isMember: (Int) -> Boolean,
    ) {
        private val members = BooleanArray(MAX_BYTE + 1) { isMember(it) }

        operator fun contains(byte: Byte) = members[byte.toInt() and MAX_BYTE]
    }
}

/** Finds the end of a block of lines that ends with an empty line, as its bytes arrive; [maxBytes] limits its length. */
internal class LineBlockScanner(
    private val maxBytes: Int,
) {
    private var scannedBytes = 0
    private var lineStart = 0

    /**
     * Returns the length of the block at the start of [buffer], or -1 if its end has not arrived yet. After a block has been found, the
     * scanner is ready for another one.
     *
     * @throws TooLongHttpHeaderException if the block is longer than the maximum.
     */
    fun lengthIn(buffer: ByteBuf): Int {
        while (true) {
            val lineFeed = buffer.indexOf(buffer.readerIndex() + scannedBytes, buffer.writerIndex(), '\n'.code.toByte())
            scannedBytes = if (lineFeed < 0) buffer.readableBytes() else lineFeed + 1 - buffer.readerIndex()
            if (scannedBytes > maxBytes) throw TooLongHttpHeaderException("no end of the fields within $maxBytes bytes")
            if (lineFeed < 0) return -1
            val lineBytes = scannedBytes - 1 - lineStart
            lineStart = scannedBytes
            if (lineBytes == 0 || (lineBytes == 1 && buffer.getByte(lineFeed - 1) == '\r'.code.toByte())) return reset()
        }
    }

    private fun reset(): Int {
        val length = scannedBytes
        scannedBytes = 0
        lineStart = 0
        return length
    }
}
