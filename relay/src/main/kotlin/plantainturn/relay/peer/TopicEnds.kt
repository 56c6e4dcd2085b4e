package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.store.StorePosition

/** The ends of the store's topics at a node's last read, as a hint to nodes that have read less. */
@Serializable
internal data class TopicEnds(
    val configuration: StorePosition,
    val instances: StorePosition,
    val breaks: StorePosition,
) {
    /** Returns the later end of each topic. */
    fun latest(other: TopicEnds): TopicEnds =
        TopicEnds(
            maxOf(configuration, other.configuration),
            maxOf(instances, other.instances),
            maxOf(breaks, other.breaks),
        )
}
