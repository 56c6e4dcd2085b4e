package plantainturn.daemon.node

import kotlinx.serialization.Serializable
import plantainturn.request.quarantine.QuarantineEntry
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.ModelDemand

/**
 * The requests of a node as a state dump shows them.
 *
 * @property demand the demand that all nodes together tell of
 * @property owedClaimEntries outcomes of idempotency keys that do not stand on the log yet
 */
@Serializable
internal data class RequestDump(
    val inFlight: Int,
    val stopping: Boolean,
    val demand: Map<ModelName, ModelDemand>,
    val quarantine: List<QuarantineEntry>,
    val owedClaimEntries: Int,
)
