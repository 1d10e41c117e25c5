package wigeonreel.routing

import wigeonreel.outcome.Refusal

/**
 * Tracks the guards that one request was sent to and decides whether it may be sent to another one.
 *
 * Load pattern: the servers of a service are unequally loaded, and the load that a daemon last saw is as old as the time
 * between two of its requests. A refusal by a guard costs no server time and carries the server's load, so the next choice
 * has fresher data.
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

        /** Maximum number of tries after an overloaded guard for a new request, which loses little by a later retry. */
        const val MAX_MORE_TRIES_OVERLOADED = 1

        /** Maximum number of tries after an overloaded guard for a nested call, whose refusal wastes the work done above it. */
        const val MAX_MORE_TRIES_OVERLOADED_NESTED = 3
    }
}
