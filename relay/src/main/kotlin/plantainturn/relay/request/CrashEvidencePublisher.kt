package plantainturn.relay.request

import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.RequestFingerprint

/** Publishes to the other nodes that an instance failed while it handled a request. */
internal fun interface CrashEvidencePublisher {
    /** Publishes that a request with [fingerprint] broke off at the instance run in [evidence]. Does not block. */
    fun publish(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    )
}
