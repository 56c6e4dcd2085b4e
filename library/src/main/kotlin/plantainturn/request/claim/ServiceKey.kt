package plantainturn.request.claim

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ServiceName

/** An idempotency key within one team. */
@Serializable
public data class ServiceKey(
    val service: ServiceName,
    val key: String,
)
