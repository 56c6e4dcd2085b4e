package plantainturn.connection.log

import kotlinx.serialization.Serializable

/** The name of a stream of the platform's append-only log. */
@Serializable
@JvmInline
public value class StreamName(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** The stream of configuration patches. */
        public val CONFIGURATION: StreamName = StreamName("configuration")

        /** Returns the stream of leases and order intents of [shard]. */
        public fun control(shard: String): StreamName = StreamName("control.$shard")

        /** Returns the stream of idempotency claims of [shard]. */
        public fun claims(shard: String): StreamName = StreamName("claims.$shard")
    }
}
