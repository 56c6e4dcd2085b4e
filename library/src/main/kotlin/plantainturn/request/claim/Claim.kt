package plantainturn.request.claim

import plantainturn.connection.log.RecordIdentifier

/** The right to dispatch the one request of [key], granted by the record [record] on the log. */
public data class Claim(
    val key: ClaimKey,
    val record: RecordIdentifier,
)
