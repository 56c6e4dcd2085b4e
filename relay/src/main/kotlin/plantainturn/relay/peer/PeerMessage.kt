package plantainturn.relay.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.json.JsonFault
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.control.lease.StoreLease
import plantainturn.relay.http.HttpCallResult

/** Decodes the messages that nodes send to each other. */
internal object PeerMessage {
    private const val OK = 200

    /** Unknown members are ignored, so that nodes of a newer build may join. */
    private val FORMAT = Json { ignoreUnknownKeys = true }
    private val logger = LogManager.getLogger("peer")

    /** Returns the message in [body], or null if it is unreadable, which is logged as [event]. */
    fun <T> decode(
        body: ByteArray,
        serializer: KSerializer<T>,
        event: String = "peer-message-unreadable",
    ): T? =
        try {
            FORMAT.decodeFromString(serializer, body.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn("event={} reason=\"{}\"", event, JsonFault.describe(exception))
            null
        }

    /** Returns the message in a successful answer, or null if there is none. */
    fun <T> decode(
        result: HttpCallResult,
        serializer: KSerializer<T>,
    ): T? {
        if (result !is HttpCallResult.Answered || result.status != OK) return null
        return decode(result.body, serializer, event = "issuer-answer-unreadable")
    }
}

/** Returns where the issuer's peers reach it, as far as known. */
internal fun StoreLease.holderLocation(): SocketLocation? = holderRecord?.let { SocketLocation.parse(it.address) }
