package plantainturn.request.claim

import plantainturn.connection.log.RecordIdentifier

/** The decision on the request of [claim] for [key], which follows from the order of entries in the stream. */
public data class ClaimVerdict(
    val claim: RecordIdentifier,
    val key: ClaimKey,
    val decision: ClaimDecision,
)
