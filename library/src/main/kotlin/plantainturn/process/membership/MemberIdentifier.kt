package plantainturn.process.membership

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.NodeName

/**
 * Identifies one process of one node. A restarted node has a new identifier, so that entries about its previous process
 * are not applied to the new one.
 */
@Serializable
@JvmInline
public value class MemberIdentifier(
    public val value: String,
) : Comparable<MemberIdentifier> {
    /** The name of the node. */
    public val node: NodeName
        get() = NodeName(value.substringBeforeLast(SEPARATOR))

    override fun compareTo(other: MemberIdentifier): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        private const val SEPARATOR = '/'
        private const val RADIX = 36

        /** Returns the identifier of the process of [node] with the random number [process]. */
        public fun of(
            node: NodeName,
            process: Long,
        ): MemberIdentifier = MemberIdentifier("$node$SEPARATOR${process.toULong().toString(RADIX)}")
    }
}
