package wigeonreel.soak

import wigeonreel.retry.RetryLedger

/** Attacks the retry ledgers with random call trees, lost replies and servers that repeat failed calls themselves. */
class RetrySoak(
    seed: Long,
) {
    private val queue = EventQueue(seed)

    /** Number of trees checked. */
    var trees = 0
        private set

    /** Runs [count] trees; throws [InvariantViolation]. */
    fun run(count: Int) = repeat(count) { tree() }

    private fun tree() {
        trees++
        val grant = queue.random.nextInt(MAX_GRANT + 1)
        val ledger = RetryLedger(grant)
        val retries = call(ledger, 0, fingerprint = 1)
        queue.require("retries-bounded", retries <= grant) { "$retries retries in a tree that was granted $grant" }
        queue.require("ledger-counts-all", ledger.spent >= retries) { "the ledger shows ${ledger.spent} of $retries retries" }
    }

    /** Makes one call with its retries and returns the retries that it and its subtree made. */
    private fun call(ledger: RetryLedger, depth: Int, fingerprint: Int): Int {
        var retries = 0
        while (true) {
            val handedDown = ledger.reserve(ledger.remaining - 1)
            val child = RetryLedger(handedDown)
            val below = if (depth < MAX_DEPTH) subtree(child, depth + 1) else 0
            retries += below
            val replyLost = queue.chance(LOST)
            if (!replyLost) ledger.settle(handedDown, child.spent)
            val failed = replyLost || queue.chance(FAILED)
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
        const val LOST = 0.2
        const val FAILED = 0.4
    }
}
