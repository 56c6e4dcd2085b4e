package plantainturn.connection.engine

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.SerializableList

/**
 * One server-sent event of an engine's answer.
 *
 * Each token comes in an event of its own. The last event carries no text but the finish reason, and its [position] is
 * the number of tokens of the whole answer.
 *
 * @property id the attempt, as `request.attempt`
 */
@Serializable
public data class CompletionsEvent(
    val id: String,
    val request: RequestIdentifier,
    val attempt: AttemptNumber,
    val position: Int,
    val choices: SerializableList<CompletionsChoice> = persistentListOf(),
) {
    /** The finish reason, null as long as tokens follow. */
    public val finishReason: String?
        get() = choices.firstOrNull()?.finishReason

    /** Returns the token that this event carries. */
    public fun toTokenChunk(): TokenChunk =
        TokenChunk(request, attempt, position, choices.firstOrNull()?.text.orEmpty())

    public companion object {
        /** The data of the event that ends an answer's stream. */
        public const val DONE: String = "[DONE]"

        /** Returns the event that carries [chunk]. */
        public fun of(chunk: TokenChunk): CompletionsEvent = of(chunk, null)

        /** Returns the last event of an answer of [totalTokens] tokens. */
        public fun finish(
            request: RequestIdentifier,
            attempt: AttemptNumber,
            totalTokens: Int,
            reason: String,
        ): CompletionsEvent = of(TokenChunk(request, attempt, totalTokens, ""), reason)

        private fun of(
            chunk: TokenChunk,
            finishReason: String?,
        ): CompletionsEvent =
            CompletionsEvent(
                id = "${chunk.request}.${chunk.attempt}",
                request = chunk.request,
                attempt = chunk.attempt,
                position = chunk.position,
                choices = persistentListOf(CompletionsChoice(0, chunk.text, finishReason)),
            )
    }
}
