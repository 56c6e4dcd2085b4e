package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What the configuration's stream says at one offset.
 *
 * @property current the configuration in force
 * @property fates the fates of the patches judged last, the oldest first
 */
public data class ConfigurationState(
    val current: NumberedConfiguration = NumberedConfiguration.NONE,
    val fates: PersistentMap<PatchIdentifier, PatchFate> = persistentMapOf(),
) {
    /** Returns this state with [fate] noted; the oldest fates go beyond [FATES_KEPT]. */
    internal fun note(
        identifier: PatchIdentifier,
        fate: PatchFate,
    ): ConfigurationState {
        val grown = fates.put(identifier, fate)
        return copy(fates = if (grown.size > FATES_KEPT) grown.remove(grown.keys.first()) else grown)
    }

    public companion object {
        /** The number of patches whose fates are kept. */
        public const val FATES_KEPT: Int = 1024
    }
}
