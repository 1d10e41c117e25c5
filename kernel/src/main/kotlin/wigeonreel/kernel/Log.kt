package wigeonreel.kernel

import org.tinylog.kotlin.Logger

/**
 * Log of one part of a process; every line starts with the part's fixed prefix.
 *
 * Decision lines are at debug level, so that a level switches them off.
 */
class Log(
    private val part: String,
) {
    private val prefix = "$part: "

    /** Logs one routing or placement decision. */
    fun decision(message: () -> String) = Logger.debug { prefix + message() }

    /** Logs a change of state. */
    fun info(message: String) = Logger.info(lineOf("info", message))

    /** Logs something that an operator should look at. */
    fun warn(message: String) = Logger.warn(lineOf("warn", message))

    /** Logs a failure of the program itself. */
    fun error(message: String, cause: Throwable) = Logger.error(cause, lineOf("error", message))

    private fun lineOf(level: String, message: String): String {
        if (!STRUCTURED) return prefix + message
        val line = EventLine("log", System.currentTimeMillis())
        line.put("part", part)
        line.put("level", level)
        line.put("message", message)
        return line.finish()
    }

    companion object {
        /** System property that turns all lines into JSON objects when it is `true`. */
        const val STRUCTURED_PROPERTY: String = "wigeonreel.log.structured"
        private val STRUCTURED by lazy { System.getProperty(STRUCTURED_PROPERTY) == "true" }
    }
}
