package plantainturn.connection.engine

import kotlinx.serialization.Serializable
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName

/**
 * One attempt to generate an answer on one engine.
 *
 * @property target the model or adapter
 * @property maximumTokens tokens of the whole answer, those before [resumePosition] included
 * @property resumePosition tokens of the answer that the caller already has; the engine goes on after them
 * @property resumeText the text of those tokens
 */
@Serializable
public data class GenerationRequest(
    val request: RequestIdentifier,
    val attempt: AttemptNumber,
    val target: ModelName,
    val prompt: String,
    val maximumTokens: Int,
    val priority: RequestPriority = RequestPriority.INTERACTIVE,
    val resumePosition: Int = 0,
    val resumeText: String = "",
)
