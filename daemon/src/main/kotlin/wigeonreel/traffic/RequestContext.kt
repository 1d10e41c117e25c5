package wigeonreel.traffic

import wigeonreel.admission.AdmissionThreshold
import wigeonreel.admission.Rank
import wigeonreel.config.AccountConfig
import wigeonreel.retry.RetryLedger

/** What the calls of one request tree have in common at one daemon. */
class RequestContext(
    val rootId: String,
    val rank: Rank,
    val account: AccountConfig,
    val depth: Int,
    val deadlineMs: Long,
    val ledger: RetryLedger,
) {
    /** Highest cut that this request's child calls met. */
    var childCut: AdmissionThreshold = AdmissionThreshold.NONE
        private set

    /** Takes the cut that a child call met. */
    fun onChildCut(cut: AdmissionThreshold) {
        if (cut.minPosition > childCut.minPosition) childCut = cut
    }
}
