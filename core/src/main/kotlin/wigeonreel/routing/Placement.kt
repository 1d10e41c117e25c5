package wigeonreel.routing

import wigeonreel.outcome.Refusal

/**
 * Tracks the guards that one request was sent to and decides whether it may be sent to another one.
 *
 * Load pattern: the servers of a service are unequally loaded, and a daemon that sends a server few requests has an outdated
 * value of its load. A refusal by a guard costs no server time and carries the server's current load, so the next choice is
 * better informed.
 *
 * @param nested whether the request is a call made by a request that is already running.
 */
class Placement(
    private val nested: Boolean,
) {
    private val triedDaemons = HashSet<String>()
    private var overloadedCount = 0

    /** Ids of the daemons that the request was sent to. */
    val tried: Set<String> get() = triedDaemons

    /** Records that the request is sent to the guard of [daemon]. */
    fun onTried(daemon: String) {
        triedDaemons += daemon
    }

    /** Returns whether the request may be sent to another guard after one refused it with [refusal]. */
    fun mayTryAnother(refusal: Refusal): Boolean {
        if (refusal != Refusal.OVERLOADED) return triedDaemons.size <= MAX_MORE_TRIES
        val maxMoreTries = if (nested) MAX_MORE_TRIES_OVERLOADED_NESTED else MAX_MORE_TRIES_OVERLOADED
        return ++overloadedCount <= maxMoreTries
    }

    private companion object {
        /** Maximum number of tries after the first one when guards refuse for reasons other than overload; each costs a round trip. */
        const val MAX_MORE_TRIES = 3

        /** Maximum number of tries after an overloaded guard for a new request, for which a later retry costs little. */
        const val MAX_MORE_TRIES_OVERLOADED = 1

        /** Maximum number of tries after an overloaded guard for a nested call; its refusal wastes work already done by its callers. */
        const val MAX_MORE_TRIES_OVERLOADED_NESTED = 3
    }
}
