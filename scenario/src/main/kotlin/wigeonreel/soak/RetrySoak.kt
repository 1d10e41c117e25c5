package wigeonreel.soak

import wigeonreel.retry.RetryLedger

/**
 * Tests the retry ledgers with random call trees, lost replies and servers that retry failed calls on their own.
 *
 * Checks: a call tree makes at most the granted number of retries, and its ledger counts at least the retries made.
 */
class RetrySoak(
    seed: Long,
) {
    private val queue = EventQueue(seed)

    /** Number of call trees checked. */
    var trees = 0
        private set

    /** Checks [count] call trees; throws [InvariantViolation] at the first failed check. */
    fun run(count: Int) = repeat(count) { checkTree() }

    private fun checkTree() {
        trees++
        val grant = queue.random.nextInt(MAX_GRANT + 1)
        val ledger = RetryLedger(grant)
        val retries = call(ledger, 0, fingerprint = 1)
        queue.require("retries-bounded", retries <= grant) { "$retries retries in a call tree that was granted $grant" }
        queue.require("ledger-counts-all", ledger.spent >= retries) { "the ledger counts ${ledger.spent} retries, but $retries were made" }
    }

    /** Simulates one call with its retries and returns the number of retries made by the call and its subtree. */
    private fun call(ledger: RetryLedger, depth: Int, fingerprint: Int): Int {
        var retries = 0
        while (true) {
            val childGrant = ledger.reserve(ledger.remaining - 1)
            val child = RetryLedger(childGrant)
            val subtreeRetries = if (depth < MAX_DEPTH) subtree(child, depth + 1) else 0
            retries += subtreeRetries
            val replyLost = queue.chance(REPLY_LOSS_PROBABILITY)
            if (!replyLost) ledger.settle(childGrant, child.spent)
            val failed = replyLost || queue.chance(FAILURE_PROBABILITY)
            if (!failed || ledger.reserve(1) == 0) {
                if (failed) ledger.recordFailure(fingerprint)
                return retries
            }
            retries++
        }
    }

    private fun subtree(ledger: RetryLedger, depth: Int): Int {
        var retries = 0
        repeat(queue.random.nextInt(MAX_CHILDREN + 1)) {
            val fingerprint = queue.random.nextInt(FINGERPRINTS)
            val before = ledger.remaining
            if (ledger.admitCall(fingerprint)) {
                retries += before - ledger.remaining
                retries += call(ledger, depth, fingerprint)
            }
        }
        return retries
    }

    private companion object {
        const val MAX_GRANT = 8
        const val MAX_DEPTH = 6
        const val MAX_CHILDREN = 3
        const val FINGERPRINTS = 3
        const val REPLY_LOSS_PROBABILITY = 0.2
        const val FAILURE_PROBABILITY = 0.4
    }
}
