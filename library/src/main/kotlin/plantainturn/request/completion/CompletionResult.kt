package plantainturn.request.completion

import plantainturn.process.ResultCode
import kotlin.time.Duration

/** The result of a completion request. */
public sealed interface CompletionResult {
    /** The result code sent to the caller. */
    public val code: ResultCode

    /**
     * The receiver got the complete answer.
     *
     * @property tokens the number of tokens in the answer
     * @property reason `stop` or `length`, as in the completions convention
     */
    public data class Answered(
        val tokens: Int,
        val reason: String,
    ) : CompletionResult {
        override val code: ResultCode get() = ResultCode.ANSWERED
    }

    /**
     * The receiver got no answer or an incomplete one.
     *
     * @property code the result code, which tells whether the request ran
     * @property retryAfter the time after which a retry is worthwhile, null if a retry is not
     */
    public data class Unanswered(
        override val code: ResultCode,
        val detail: String,
        val retryAfter: Duration? = null,
    ) : CompletionResult
}
