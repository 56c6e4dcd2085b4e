package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of a model or of an adapter, as callers write it in a request. */
@Serializable
@JvmInline
public value class ModelName(
    public val value: String,
) : Comparable<ModelName> {
    override fun compareTo(other: ModelName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
