package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName

/** A KV cache entry that an engine stand-in exports or imports; it stands for the cache's content. */
@Serializable
public data class CachedPrefix(
    val model: ModelName,
    val prefixHash: Long,
)
