package plantainturn.daemon.caller

import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName

/** What the body of a completion request holds. */
internal sealed interface ParsedCompletion {
    /**
     * The body can be used.
     *
     * @property stream whether the caller wants server-sent events
     */
    data class Valid(
        val target: ModelName,
        val prompt: String,
        val maximumTokens: Int,
        val stream: Boolean,
        val priority: RequestPriority,
    ) : ParsedCompletion

    /** The body can't be used. */
    data class Malformed(
        val problem: String,
    ) : ParsedCompletion
}
