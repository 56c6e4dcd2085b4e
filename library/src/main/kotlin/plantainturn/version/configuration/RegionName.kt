package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of a region: what may be cut off from the other regions for an hour. */
@Serializable
@JvmInline
public value class RegionName(
    public val value: String,
) : Comparable<RegionName> {
    override fun compareTo(other: RegionName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
