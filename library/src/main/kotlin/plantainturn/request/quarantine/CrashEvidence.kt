package plantainturn.request.quarantine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.UpstreamName

/**
 * A request's attempt broke off at [upstream].
 *
 * @property incarnation the engine's incarnation before; another one now shows that the upstream crashed
 */
@Serializable
public data class CrashEvidence(
    val upstream: UpstreamName,
    val incarnation: String?,
)
