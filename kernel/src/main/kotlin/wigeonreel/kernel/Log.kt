package wigeonreel.kernel

import org.tinylog.kotlin.Logger

/**
 * Log of one part of a process; every line starts with the part's fixed prefix.
 *
 * Decision lines are at debug level, so that a level switches them off.
 */
class Log(
    part: String,
) {
    private val prefix = "$part: "

    /** Logs one routing or placement decision. */
    fun decision(message: () -> String) = Logger.debug { prefix + message() }

    /** Logs a change of state. */
    fun info(message: String) = Logger.info(prefix + message)

    /** Logs something that an operator should look at. */
    fun warn(message: String) = Logger.warn(prefix + message)

    /** Logs a failure of the program itself. */
    fun error(message: String, cause: Throwable) = Logger.error(cause, prefix + message)
}
