package plantainturn.request.completion

import plantainturn.process.time.Moment
import plantainturn.request.RequestIdentifier
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.TeamName

/**
 * A caller's request for a completion by a model or adapter.
 *
 * @property prompt the whole prompt, with chat messages already joined
 * @property maximumTokens the maximum number of tokens in the answer
 * @property deadline the time from which the caller no longer wants the answer
 */
public data class CompletionRequest(
    val identifier: RequestIdentifier,
    val team: TeamName,
    val target: ModelName,
    val prompt: String,
    val maximumTokens: Int,
    val priority: RequestPriority,
    val receivedAt: Moment,
    val deadline: Moment,
)
