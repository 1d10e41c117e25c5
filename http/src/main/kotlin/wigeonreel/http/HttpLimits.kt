package wigeonreel.http

/**
 * Bounds on HTTP messages, in bytes, and the time for which an idle connection is kept, in milliseconds.
 *
 * @param maxUnfinishedBytes bytes of unfinished answers that a connector holds before it reads one answer at a time.
 */
data class HttpLimits(
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val maxRequestLineBytes: Int = 8 * 1024,
    val maxUnfinishedBytes: Long = 8L * 1024 * 1024,
    val idleTimeoutMs: Long = 60_000,
)
