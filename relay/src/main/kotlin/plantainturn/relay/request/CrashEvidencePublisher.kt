package plantainturn.relay.request

import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.RequestFingerprint

/** Where a node tells the others that a request broke off at an instance. */
internal fun interface CrashEvidencePublisher {
    /** Tells that a request with [fingerprint] broke off at the run that [evidence] names. Returns at once. */
    fun publish(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    )
}
