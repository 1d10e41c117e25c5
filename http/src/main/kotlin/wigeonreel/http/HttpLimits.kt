package wigeonreel.http

/**
 * Size limits of HTTP messages and idle timeout of the connections that a listener accepts.
 *
 * @param maxBufferedBytes bytes of incomplete responses that a connector buffers before it reads only one large response at
 *   a time.
 */
data class HttpLimits(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val maxRequestLineBytes: Int = 8 * 1024,
    val maxBufferedBytes: Long = 8L * 1024 * 1024,
    val idleTimeoutMs: Long = 60_000,
)
