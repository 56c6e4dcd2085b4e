package plantainturn.process.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.FailureDomain

/** A piece of news that gossip carries. Of two entries with the same key, the one with the higher version holds. */
@Serializable
public sealed interface GossipEntry {
    /** The member that the entry is about. */
    public val member: MemberIdentifier

    /**
     * What the entry replaces.
     *
     * The keys of members precede those of protective values, and these all others, so that they are synchronised in
     * that order.
     */
    public val key: String

    /** Grows with each entry of the same key. */
    public val version: Long

    /**
     * What is believed of a member.
     *
     * @property incarnation raised by the member alone, to contradict what others believe of it
     */
    @Serializable
    @SerialName("member")
    public data class Membership(
        override val member: MemberIdentifier,
        val incarnation: Long,
        val state: MemberState,
        val address: String,
        val failureDomain: FailureDomain,
    ) : GossipEntry {
        override val key: String
            get() = keyOf(member)

        override val version: Long
            get() = incarnation * MemberState.entries.size + state.ordinal
    }

    /**
     * A value that a member published.
     *
     * @property counter counts the values that the member published
     * @property ageMilliseconds how old the value was when the entry was sent
     */
    @Serializable
    @SerialName("value")
    public data class Published(
        override val member: MemberIdentifier,
        val counter: Long,
        val value: GossipValue,
        val ageMilliseconds: Long = 0,
    ) : GossipEntry {
        override val key: String
            get() = "${if (value.protective) "protection" else "value"} $member ${value.slot}"

        override val version: Long
            get() = counter
    }

    public companion object {
        /** Returns the key of the entry that tells what is believed of [member]. */
        public fun keyOf(member: MemberIdentifier): String = "member $member"
    }
}
