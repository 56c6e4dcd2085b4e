package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of a plain service. */
@Serializable
@JvmInline
public value class ServiceName(
    public val value: String,
) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
