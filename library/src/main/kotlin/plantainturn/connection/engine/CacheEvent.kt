package plantainturn.connection.engine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName

/**
 * A change of an engine's prefix cache. Events come late and with gaps.
 *
 * @property sequence counts the engine's events; a jump shows a gap
 * @property prefixHash identifies the cached prefix of a prompt
 * @property stored whether the prefix was stored, rather than evicted
 */
@Serializable
public data class CacheEvent(
    val sequence: Long,
    val model: ModelName,
    val prefixHash: Long,
    val stored: Boolean,
)
