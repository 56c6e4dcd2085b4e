package plantainturn.process.membership

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.NodeName

/**
 * Names one process of one node. A node that starts again has another identifier, so nothing that was said of the
 * process before is taken for news of the new one.
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

        /** Returns the identifier of the process of [node] that drew the random number [process]. */
        public fun of(
            node: NodeName,
            process: Long,
        ): MemberIdentifier = MemberIdentifier("$node$SEPARATOR${process.toULong().toString(RADIX)}")
    }
}
