package plantainturn.request.claim

import kotlinx.serialization.Serializable
import plantainturn.connection.log.RecordIdentifier

/** A key whose single run, under [claim], ended with [outcome]. */
@Serializable
public data class SettledKey(
    val claim: RecordIdentifier,
    val fingerprint: String,
    val outcome: ClaimOutcome,
)
