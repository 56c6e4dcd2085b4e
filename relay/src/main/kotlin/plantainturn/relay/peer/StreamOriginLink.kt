package plantainturn.relay.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.process.control.lease.StoreLease
import plantainturn.relay.http.HttpCall
import plantainturn.relay.http.HttpClient
import plantainturn.relay.request.StreamOriginClient
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.StreamOrigin
import plantainturn.request.relay.StreamOrigins
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks the issuer which software version began a stream; it hears the origins of all nodes' streams.
 *
 * @param isIssuerMissing returns whether the issuer has been silent for so long that it should not be asked
 */
internal class StreamOriginLink(
    private val origins: StreamOrigins,
    private val lease: StoreLease,
    private val caller: HttpClient,
    private val isIssuerMissing: () -> Boolean,
) : StreamOriginClient {
    private val logger = LogManager.getLogger("stream-origin")

    override fun find(
        stream: RequestIdentifier,
        done: () -> Unit,
    ) {
        val location = lease.holderLocation()
        if (lease.fence != null || location == null || isIssuerMissing()) return done()
        val body = Json.encodeToString(Question.serializer(), Question(stream)).toByteArray()
        caller.call(location, HttpCall(HttpMethod.POST, PATH, body), TIMEOUT) { result ->
            val version = PeerMessage.decode(result, Answer.serializer())?.version
            logger.info("stream={} event=origin-asked issuer={} version={}", stream, location, version)
            if (version != null) origins.learn(listOf(StreamOrigin(stream, version)))
            done()
        }
    }

    /** Returns the answer to the [question] of another node. */
    fun answer(question: Question): Answer = Answer(origins.versionOf(question.stream))

    /** A node's question for the origin of [stream]. */
    @Serializable
    data class Question(
        val stream: RequestIdentifier,
    )

    /**
     * The issuer's answer to a [Question].
     *
     * @property version null if it is not known
     */
    @Serializable
    data class Answer(
        val version: SoftwareVersion?,
    )

    internal companion object {
        const val PATH = "/peer/stream"
        private val TIMEOUT = 300.milliseconds
    }
}
