package plantainturn.request.completion

import plantainturn.process.ResultCode
import kotlin.time.Duration

/** How a request for an answer ended. */
public sealed interface CompletionResult {
    /** The number that the caller sees. */
    public val code: ResultCode

    /**
     * The receiver has the whole answer.
     *
     * @property tokens tokens of the answer
     * @property reason `stop` or `length`
     */
    public data class Answered(
        val tokens: Int,
        val reason: String,
    ) : CompletionResult {
        override val code: ResultCode get() = ResultCode.ANSWERED
    }

    /**
     * The receiver has no whole answer.
     *
     * @property code tells whether the request ran
     * @property retryAfter when it is worth coming back, null if it is not
     */
    public data class Unanswered(
        override val code: ResultCode,
        val detail: String,
        val retryAfter: Duration? = null,
    ) : CompletionResult
}
