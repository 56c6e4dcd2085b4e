package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentList
import kotlin.reflect.KClass

/**
 * Who the other nodes are and what they say.
 *
 * It is a belief: a member may be gone, a present node may be missing, and values are late. Nothing that must be safe
 * may depend on it. Safe for use by several threads.
 */
public interface Membership {
    /** This node. */
    public val self: MemberIdentifier

    /** Returns the nodes believed to be present, this one included, ordered by identifier. */
    public fun members(): PersistentList<Member>

    /** Tells the others [value]. An equal value is sent again only to keep it from expiring. */
    public fun publish(value: GossipValue): PublishResult

    /** Returns the values of type [kind] of all members present, this one included. */
    public fun <V : GossipValue> values(kind: KClass<V>): PersistentList<ReceivedValue<V>>

    /** Calls [listener] from now on. */
    public fun subscribe(listener: MembershipListener)
}
