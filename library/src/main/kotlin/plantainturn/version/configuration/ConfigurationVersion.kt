package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * The number of an accepted configuration. It grows by one with each accepted patch and never goes back.
 *
 * @property number 0 for the empty configuration that precedes every patch
 */
@Serializable
@JvmInline
public value class ConfigurationVersion(
    public val number: Long,
) : Comparable<ConfigurationVersion> {
    /** Returns the version that follows this one. */
    public fun next(): ConfigurationVersion = ConfigurationVersion(number + 1)

    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** The version of the empty configuration. */
        public val NONE: ConfigurationVersion = ConfigurationVersion(0)
    }
}
