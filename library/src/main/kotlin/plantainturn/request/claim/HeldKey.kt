package plantainturn.request.claim

import kotlinx.serialization.Serializable
import plantainturn.connection.log.RecordIdentifier

/** A key held by [claim] for a request whose content has [fingerprint]. */
@Serializable
public data class HeldKey(
    val claim: RecordIdentifier,
    val fingerprint: String,
)
