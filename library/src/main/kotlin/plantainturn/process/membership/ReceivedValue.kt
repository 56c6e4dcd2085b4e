package plantainturn.process.membership

import plantainturn.process.time.Moment

/**
 * A value that a member published.
 *
 * @property publishedAt when it was published, on this process's clock; transmission time is not accounted for
 */
public data class ReceivedValue<out V : GossipValue>(
    val member: MemberIdentifier,
    val value: V,
    val publishedAt: Moment,
)
