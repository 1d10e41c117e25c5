package wigeonreel.routing

import wigeonreel.outcome.Refusal

/**
 * Course of one request from guard to guard until one takes it.
 *
 * Load pattern: the servers of a service are unequally full, and what a daemon knows of them is old by the time between
 * two of its requests. A guard that turns a request away costs no server anything and tells how full it is, so the next
 * choice knows more.
 *
 * @param begun whether the request is a call of one that already runs elsewhere.
 */
class Placement(
    private val begun: Boolean,
) {
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
        val most = if (begun) MAX_OTHERS_AFTER_FULL_BEGUN else MAX_OTHERS_AFTER_FULL
        return ++full <= most
    }

    private companion object {
        /** Guards asked after the first one when they have no server; each costs a round trip. */
        const val MAX_OTHERS = 3

        /** Full guards asked after the first one for a new request, which loses little by coming back later. */
        const val MAX_OTHERS_AFTER_FULL = 1

        /** The same for a call of a running request, whose refusal wastes the work above it. */
        const val MAX_OTHERS_AFTER_FULL_BEGUN = 3
    }
}
