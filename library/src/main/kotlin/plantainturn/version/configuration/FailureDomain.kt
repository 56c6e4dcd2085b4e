package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of a failure domain: what may fail together. */
@Serializable
@JvmInline
public value class FailureDomain(
    public val value: String,
) : Comparable<FailureDomain> {
    override fun compareTo(other: FailureDomain): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
