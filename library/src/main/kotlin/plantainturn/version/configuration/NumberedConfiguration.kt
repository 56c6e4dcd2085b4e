package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** An accepted configuration with its version. */
@Serializable
public data class NumberedConfiguration(
    val version: ConfigurationVersion,
    val configuration: Configuration,
) {
    public companion object {
        /** The empty configuration that precedes every patch. */
        public val NONE: NumberedConfiguration = NumberedConfiguration(ConfigurationVersion.NONE, Configuration.EMPTY)
    }
}
