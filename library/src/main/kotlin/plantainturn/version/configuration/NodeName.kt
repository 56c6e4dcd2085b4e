package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** The name of a node, unique among the nodes that run at one time. */
@Serializable
@JvmInline
public value class NodeName(
    public val value: String,
) : Comparable<NodeName> {
    override fun compareTo(other: NodeName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
