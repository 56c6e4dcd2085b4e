package plantainturn.connection.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName

/**
 * The body of `POST /v1/completions` to an engine: the convention's members, and those that name and resume an attempt.
 *
 * @property resumePosition tokens of the answer that need not be sent again
 * @property resumeText the text of those tokens
 */
@Serializable
public data class CompletionsBody(
    val model: ModelName,
    val prompt: String,
    @SerialName("max_tokens")
    val maximumTokens: Int,
    val stream: Boolean = true,
    val request: RequestIdentifier,
    val attempt: AttemptNumber,
    val priority: RequestPriority = RequestPriority.INTERACTIVE,
    @SerialName("resume_position")
    val resumePosition: Int = 0,
    @SerialName("resume_text")
    val resumeText: String = "",
) {
    /** Returns the attempt that this body asks for. */
    public fun toGenerationRequest(): GenerationRequest =
        GenerationRequest(
            request = request,
            attempt = attempt,
            target = model,
            prompt = prompt,
            maximumTokens = maximumTokens,
            priority = priority,
            resumePosition = resumePosition,
            resumeText = resumeText,
        )

    public companion object {
        /** Returns the body that asks for [request]. */
        public fun of(request: GenerationRequest): CompletionsBody =
            CompletionsBody(
                model = request.target,
                prompt = request.prompt,
                maximumTokens = request.maximumTokens,
                request = request.request,
                attempt = request.attempt,
                priority = request.priority,
                resumePosition = request.resumePosition,
                resumeText = request.resumeText,
            )
    }
}
