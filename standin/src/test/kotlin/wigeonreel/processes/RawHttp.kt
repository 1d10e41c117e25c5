package wigeonreel.processes

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress

/** HTTP/1.1 message as read from a socket; the names of [headers] are in lower case. */
class RawMessage(
    val startLine: String,
    val headers: Map<String, String>,
    val body: ByteArray,
) {
    val method: String get() = startLine.substringBefore(' ')
    val target: String get() = startLine.split(' ').getOrElse(1) { "" }
    val status: Int get() = startLine.split(' ').getOrNull(1)?.toIntOrNull() ?: 0

    /** Returns the value of the header [name], or an empty text. */
    fun header(name: String): String = headers[name.lowercase()].orEmpty()

    /** Whether the sender closes the connection after this message. */
    val closes: Boolean get() = header("Connection").equals("close", ignoreCase = true)
}

/**
 * Reads one message, whose body must have a length; returns null if the connection is closed before its first byte.
 *
 * @throws EOFException if the connection is closed within the message.
 */
fun readMessage(input: InputStream): RawMessage? {
    val startLine = readLine(input) ?: return null
    val headers = HashMap<String, String>()
    while (true) {
        val line = readLine(input) ?: throw EOFException("closed within the head")
        if (line.isEmpty()) break
        headers[line.substringBefore(':').trim().lowercase()] = line.substringAfter(':').trim()
    }
    val length = headers["content-length"]?.toInt() ?: 0
    val body = input.readNBytes(length)
    if (body.size < length) throw EOFException("closed after ${body.size} of $length bytes")
    return RawMessage(startLine, headers, body)
}

private fun readLine(input: InputStream): String? {
    val line = ByteArrayOutputStream()
    while (true) {
        when (val byte = input.read()) {
            -1 -> if (line.size() == 0) return null else throw EOFException("closed within a line")
            '\n'.code -> return line.toString(Charsets.ISO_8859_1).removeSuffix("\r")
            else -> line.write(byte)
        }
    }
}

/** Returns the bytes of a message with a length. */
fun encodeMessage(startLine: String, headers: Map<String, String>, body: ByteArray): ByteArray {
    val lines = listOf(startLine) + headers.map { "${it.key}: ${it.value}" } + "Content-Length: ${body.size}"
    return lines.joinToString("\r\n", postfix = "\r\n\r\n").toByteArray(Charsets.ISO_8859_1) + body
}

/** Parses `host:port`. */
fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(InetAddress.getByName(text.substringBeforeLast(':')), text.substringAfterLast(':').toInt())
