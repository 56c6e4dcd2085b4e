package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentList
import kotlin.reflect.KClass

/**
 * Provides the known nodes and the values that they publish.
 *
 * The view is eventually consistent: it may include members that are gone, miss nodes that are running, and return
 * outdated values. Safety properties must not depend on it. Implementations are thread-safe.
 */
public interface Membership {
    /** This node. */
    public val self: MemberIdentifier

    /** Returns the nodes believed to be present, this one included, ordered by identifier. */
    public fun members(): PersistentList<Member>

    /** Publishes [value] to the other members. An equal value is sent again only to keep it from expiring. */
    public fun publish(value: GossipValue): PublishResult

    /** Returns the values of type [kind] of all members present, this one included. */
    public fun <V : GossipValue> values(kind: KClass<V>): PersistentList<ReceivedValue<V>>

    /** Registers [listener] for subsequent changes. */
    public fun subscribe(listener: MembershipListener)
}
