package plantainturn.connection.store

/**
 * The name of a topic in the platform's store.
 *
 * @property keyed whether the store keeps the newest record of each key for good
 */
public data class TopicName(
    val value: String,
    val keyed: Boolean,
) {
    override fun toString(): String = value
}
