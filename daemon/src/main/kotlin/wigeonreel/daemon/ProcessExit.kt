package wigeonreel.daemon

import wigeonreel.command.ExitCode
import wigeonreel.kernel.Log

/**
 * Ends the process at once after the event loop [name] has ended by an error.
 *
 * Without one of its event loops a daemon neither serves nor stops on request, so no shutdown hook is run.
 */
fun exitAfterThreadEnd(name: String) {
    try {
        Log("process").warn("event loop $name has ended by an error; the process exits")
        Log.close()
    } finally {
        Runtime.getRuntime().halt(ExitCode.FAILED.code)
    }
}
