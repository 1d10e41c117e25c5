package wigeonreel.routing

import wigeonreel.outcome.Refusal

/**
 * Course of one request from guard to guard until one takes it.
 *
 * Load pattern: the servers of a service are unequally full, and what a daemon knows of them is old by the time between
 * two of its requests. A guard that turns a request away costs no server anything and tells how full it is, so the next
 * choice knows more.
 */
class Placement {
    private val asked = HashSet<String>()
    private var full = 0

    /** Daemons that were asked already. */
    val tried: Set<String> get() = asked

    /** Notes that the guard beside the server of [daemon] is asked. */
    fun onAsked(daemon: String) {
        asked += daemon
    }

    /** Returns whether one more guard is asked after one turned the request away for [refusal]. */
    fun mayAskAnother(refusal: Refusal): Boolean {
        if (refusal != Refusal.OVERLOADED) return asked.size <= MAX_OTHERS
        full++
        return full <= MAX_OTHERS_AFTER_FULL
    }

    private companion object {
        /** Guards asked after the first one; each costs a round trip, and more than two rarely know better. */
        const val MAX_OTHERS = 3

        /** Full guards asked after the first one: where two are full, the service is. */
        const val MAX_OTHERS_AFTER_FULL = 1
    }
}
