package plantainturn.request.claim

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ServiceName

/** An idempotency key scoped to a service, within one team. */
@Serializable
public data class ServiceKey(
    val service: ServiceName,
    val key: String,
)
