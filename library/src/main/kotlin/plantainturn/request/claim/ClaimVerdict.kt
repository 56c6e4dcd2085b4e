package plantainturn.request.claim

import plantainturn.connection.log.RecordIdentifier

/** What the stream's order made of the request of [claim] for [key]. */
public data class ClaimVerdict(
    val claim: RecordIdentifier,
    val key: ClaimKey,
    val decision: ClaimDecision,
)
