package plantainturn.request.claim

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName

/** An idempotency key, with the team and service within which it is unique. */
@Serializable
public data class ClaimKey(
    val team: TeamName,
    val service: ServiceName,
    val key: String,
)
