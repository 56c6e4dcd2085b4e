package plantainturn.process.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The JSON form of messages between nodes. Members that have their default value are left out. */
public object GossipJson {
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns [message] as JSON. */
    public fun encode(message: GossipMessage): String = json.encodeToString(GossipMessage.serializer(), message)

    /** Returns the message that [text] holds, or null if it holds none. */
    public fun decode(text: String): GossipMessage? =
        try {
            json.decodeFromString(GossipMessage.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    internal fun bytesOf(entry: GossipEntry): Int =
        json.encodeToString(GossipEntry.serializer(), entry).encodeToByteArray().size

    internal fun bytesOf(message: GossipMessage): Int = encode(message).encodeToByteArray().size
}
