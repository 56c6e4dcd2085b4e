package plantainturn.process.control.residence

import plantainturn.version.configuration.ModelName

/**
 * A load or unload of a base model or of an adapter.
 *
 * @property adapter an adapter of [model], or null for the base model itself
 */
public data class ResidenceAction(
    val kind: Kind,
    val model: ModelName,
    val adapter: ModelName? = null,
) {
    /** The operation of an action. */
    public enum class Kind { LOAD, UNLOAD }
}
