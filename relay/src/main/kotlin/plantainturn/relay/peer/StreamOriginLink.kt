package plantainturn.relay.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.SocketLocation
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.TimerService
import plantainturn.relay.http.HttpCall
import plantainturn.relay.http.HttpCallResult
import plantainturn.relay.http.HttpClient
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.OriginTransport
import plantainturn.request.relay.OriginTransport.AskResult
import plantainturn.request.relay.OriginTransport.KeepResult
import plantainturn.request.relay.StreamOrigin
import plantainturn.request.relay.StreamOrigins
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges origins of streams with other nodes, and answers their calls.
 *
 * @param isIssuerMissing returns whether the issuer has been silent for so long that it should not be asked
 * @param isStopping returns whether this process will end soon, so that other nodes should keep origins instead
 */
internal class StreamOriginLink(
    private val origins: StreamOrigins,
    private val lease: StoreLease,
    private val caller: HttpClient,
    private val timer: TimerService,
    private val isIssuerMissing: () -> Boolean,
    private val isStopping: () -> Boolean,
) : OriginTransport {
    private val logger = LogManager.getLogger("stream-origin")

    override val collector: String?
        get() = if (lease.fence != null || isIssuerMissing()) null else lease.holderLocation()?.toString()

    override fun keep(
        address: String,
        origins: List<StreamOrigin>,
        done: (KeepResult) -> Unit,
    ) {
        call(address, KEEP_PATH, KeepRequest.serializer(), KeepRequest(origins)) { result ->
            val status = (result as? HttpCallResult.Answered)?.status
            if (status != OK) {
                val answer = describe(result)
                logger.info("event=origins-not-kept peer={} count={} result={}", address, origins.size, answer)
            }
            done(
                when (status) {
                    OK -> KeepResult.KEPT
                    NOT_FOUND -> KeepResult.UNSUPPORTED
                    else -> KeepResult.FAILED
                },
            )
        }
    }

    override fun ask(
        address: String,
        stream: RequestIdentifier,
        done: (AskResult) -> Unit,
    ) {
        val askedAt = timer.now()
        call(address, ASK_PATH, Question.serializer(), Question(stream)) { result ->
            val elapsed = timer.now() - askedAt
            val answer = PeerMessage.decode(result, Answer.serializer())
            val version = answer?.version
            logger.info(
                "stream={} event=origin-asked peer={} version={} elapsed={} result={}",
                stream,
                address,
                version,
                elapsed,
                describe(result),
            )
            done(
                when {
                    version != null -> AskResult.Known(StreamOrigin(stream, version, answer.correction))
                    // A refused connection shows that the process, and what it knew, is gone.
                    answer != null || result is HttpCallResult.NotSent && elapsed < TIMEOUT -> AskResult.Unknown
                    else -> AskResult.Silent
                },
            )
        }
    }

    private fun <T> call(
        address: String,
        path: String,
        serializer: KSerializer<T>,
        message: T,
        done: (HttpCallResult) -> Unit,
    ) {
        val location = SocketLocation.parse(address) ?: return done(HttpCallResult.NotSent("invalid address"))
        val body = Json.encodeToString(serializer, message).toByteArray()
        caller.call(location, HttpCall(HttpMethod.POST, path, body), TIMEOUT, done)
    }

    /** Keeps what another node tells, and returns the status of the answer. */
    fun keep(request: KeepRequest): Int {
        origins.learn(request.origins)
        return if (isStopping()) UNAVAILABLE else OK
    }

    /** Returns the answer to the [question] of another node. */
    fun answer(question: Question): Answer {
        val origin = origins.originOf(question.stream)
        return Answer(origin?.version, origin?.correction ?: 0)
    }

    private fun describe(result: HttpCallResult): String =
        if (result is HttpCallResult.Answered) "${result.status}" else "$result"

    /** The [origins] of a node's streams, which another node is to keep. */
    @Serializable
    data class KeepRequest(
        val origins: List<StreamOrigin>,
    )

    /** A node's question for the origin of [stream]. */
    @Serializable
    data class Question(
        val stream: RequestIdentifier,
    )

    /**
     * The answer to a [Question].
     *
     * @property version null if it is not known
     * @property correction how often the version has been corrected
     */
    @Serializable
    data class Answer(
        val version: SoftwareVersion?,
        val correction: Int = 0,
    )

    internal companion object {
        const val ASK_PATH = "/peer/stream"
        const val KEEP_PATH = "/peer/origins"
        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val UNAVAILABLE = 503
        private val TIMEOUT = 300.milliseconds
    }
}
