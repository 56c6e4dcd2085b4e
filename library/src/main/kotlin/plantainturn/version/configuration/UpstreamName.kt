package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of an upstream: a server that runs a model engine or a plain service. */
@Serializable
@JvmInline
public value class UpstreamName(
    public val value: String,
) : Comparable<UpstreamName> {
    override fun compareTo(other: UpstreamName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
