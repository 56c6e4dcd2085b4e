package plantainturn.replay.trace

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName

/** One line of a trace. */
@Serializable
internal sealed interface TraceRecord {
    /** When the request arrives, in milliseconds since the start of the trace. */
    val atMilliseconds: Long

    /**
     * A request to a model or adapter.
     *
     * @property deadlineMilliseconds the time after which the caller gives up if there is no first token
     * @property firstTokenMilliseconds the request's own target, null for the model's
     * @property tokenMilliseconds the request's own target, null for the model's
     */
    @Serializable
    @SerialName("completion")
    data class Completion(
        override val atMilliseconds: Long,
        val target: ModelName,
        val promptTokens: Int,
        val answerTokens: Int,
        val team: TeamName,
        val priority: RequestPriority = RequestPriority.INTERACTIVE,
        val deadlineMilliseconds: Long = DEFAULT_DEADLINE_MILLISECONDS,
        val firstTokenMilliseconds: Long? = null,
        val tokenMilliseconds: Long? = null,
    ) : TraceRecord

    /**
     * A call to a plain service that must not run twice.
     *
     * @property key the idempotency key; a later record with the same key is the caller sending it again
     */
    @Serializable
    @SerialName("service")
    data class Service(
        override val atMilliseconds: Long,
        val service: ServiceName,
        val key: String,
    ) : TraceRecord

    companion object {
        private const val DEFAULT_DEADLINE_MILLISECONDS = 10_000L
    }
}
