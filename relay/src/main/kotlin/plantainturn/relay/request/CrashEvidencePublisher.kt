package plantainturn.relay.request

import plantainturn.request.quarantine.RequestBreak
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits

/** Tells the other nodes what this one noticed about requests that broke off. No call blocks. */
internal interface CrashEvidencePublisher {
    /** Publishes that a request broke off. */
    fun publish(noticed: RequestBreak)

    /** Publishes that a run lived on at which a request broke off. */
    fun withdraw(noticed: RequestBreak)

    /** Publishes that a request with each of [answered], traits of [traits], was answered. */
    fun publishAnswered(
        answered: List<RequestFingerprint>,
        traits: RequestTraits,
    )

    /**
     * Claims the next trial of each of the [blocked] traits, unless another node claims it first.
     *
     * Returns false if another claim is in progress. Otherwise calls [done] once the outcome is known.
     */
    fun claimTrial(
        blocked: List<RequestFingerprint>,
        done: () -> Unit,
    ): Boolean
}
