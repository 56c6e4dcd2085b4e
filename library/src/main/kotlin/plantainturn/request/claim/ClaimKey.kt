package plantainturn.request.claim

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName

/** An idempotency key together with the team and service that scope it. */
@Serializable
public data class ClaimKey(
    val team: TeamName,
    val service: ServiceName,
    val key: String,
)
