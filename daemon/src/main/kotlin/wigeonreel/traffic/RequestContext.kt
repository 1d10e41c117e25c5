package wigeonreel.traffic

import wigeonreel.admission.AdmissionThreshold
import wigeonreel.admission.Rank
import wigeonreel.config.AccountConfig
import wigeonreel.retry.RetryLedger

/** State shared by the calls of one request tree at one daemon. */
class RequestContext(
    val rootId: String,
    val rank: Rank,
    val account: AccountConfig,
    val depth: Int,
    val deadlineMs: Long,
    val ledger: RetryLedger,
) {
    /** Maximum admission threshold reported by child calls. */
    var childThreshold: AdmissionThreshold = AdmissionThreshold.NONE
        private set

    /** Records the admission threshold reported by a child call. */
    fun onChildThreshold(threshold: AdmissionThreshold) {
        if (threshold.minPosition > childThreshold.minPosition) childThreshold = threshold
    }
}
