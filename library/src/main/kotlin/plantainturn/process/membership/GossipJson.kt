package plantainturn.process.membership

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes and decodes messages between nodes as JSON. Properties with their default value are omitted. */
public object GossipJson {
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns [message] as JSON. */
    public fun encode(message: GossipMessage): String = json.encodeToString(GossipMessage.serializer(), message)

    /** Returns the message that [text] holds, or null if it is not a valid message. */
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
