package wigeonreel.kernel

import org.tinylog.kotlin.Logger
import org.tinylog.provider.ProviderRegistry

/**
 * Log of one part of a process; in text form, every line starts with the name of the part.
 *
 * Decisions are logged at debug level, so that the log level can switch them off.
 */
class Log(
    private val part: String,
) {
    private val prefix = "$part: "

    /** Logs a routing or placement decision. */
    fun decision(message: () -> String) = Logger.debug { prefix + message() }

    /** Logs a change of state. */
    fun info(message: String) = Logger.info(formatLine("info", message))

    /** Logs a condition that an operator should check. */
    fun warn(message: String) = Logger.warn(formatLine("warn", message))

    /** Logs a failure of the program itself, with its [cause]. */
    fun error(message: String, cause: Throwable) = Logger.error(cause, formatLine("error", message))

    private fun formatLine(level: String, message: String): String {
        if (!STRUCTURED) return prefix + message
        val line = EventLine("log", System.currentTimeMillis())
        line.put("part", part)
        line.put("level", level)
        line.put("message", message)
        return line.finish()
    }

    companion object {
        /** System property; `true` formats all lines as JSON objects. */
        const val STRUCTURED_PROPERTY: String = "wigeonreel.log.structured"
        private val STRUCTURED by lazy { System.getProperty(STRUCTURED_PROPERTY) == "true" }

        /**
         * Keeps the log open while shutdown hooks run; otherwise its own hook closes it before the lines of a graceful shutdown.
         *
         * Must be called before the first line; the program then calls [close] after its last line.
         */
        fun keepOpenDuringShutdown() {
            System.setProperty("tinylog.autoshutdown", "false")
        }

        /** Writes the queued lines and closes the log. */
        fun close() = ProviderRegistry.getLoggingProvider().shutdown()
    }
}
