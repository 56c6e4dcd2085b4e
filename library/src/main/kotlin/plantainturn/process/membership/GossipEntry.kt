package plantainturn.process.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.FailureDomain

/** An entry that gossip replicates. Of two entries with the same key, the one with the higher version wins. */
@Serializable
public sealed interface GossipEntry {
    /** The member that the entry is about. */
    public val member: MemberIdentifier

    /**
     * Identifies the entry; a newer entry with the same key replaces it.
     *
     * In key order, membership entries come first, then protective values, then other values. Synchronisation follows
     * this order.
     */
    public val key: String

    /** The version of the entry, which increases with each entry of the same key. */
    public val version: Long

    /**
     * The state that a member is believed to be in.
     *
     * @property incarnation raised only by the member itself, to refute what others believe of it
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
     * @property counter the number of values that the member has published, this one included
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
        /** Returns the key of the membership entry of [member]. */
        public fun keyOf(member: MemberIdentifier): String = "member $member"
    }
}
