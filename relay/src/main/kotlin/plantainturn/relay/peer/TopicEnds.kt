package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/** Where the topics of the store ended when a node last read them, as a hint to nodes that heard less. */
@Serializable
internal data class TopicEnds(
    val configuration: Long,
    val instances: Long,
    val breaks: Long,
) {
    /** Returns the later end of each. */
    fun latest(other: TopicEnds): TopicEnds =
        TopicEnds(
            maxOf(configuration, other.configuration),
            maxOf(instances, other.instances),
            maxOf(breaks, other.breaks),
        )
}
