package plantainturn.request.claim

import plantainturn.connection.log.RecordIdentifier

/** The right to dispatch the single request of [key], granted by the claim entry identified by [record]. */
public data class Claim(
    val key: ClaimKey,
    val record: RecordIdentifier,
)
