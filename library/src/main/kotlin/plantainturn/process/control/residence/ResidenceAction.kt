package plantainturn.process.control.residence

import plantainturn.version.configuration.ModelName

/**
 * What an engine is ordered to hold or to drop.
 *
 * @property adapter an adapter of [model], or null for the model itself
 */
public data class ResidenceAction(
    val kind: Kind,
    val model: ModelName,
    val adapter: ModelName? = null,
) {
    /** What is done. */
    public enum class Kind { LOAD, UNLOAD }
}
