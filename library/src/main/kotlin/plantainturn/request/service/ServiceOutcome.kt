package plantainturn.request.service

import plantainturn.connection.service.ServiceResult
import plantainturn.process.ResultCode
import kotlin.time.Duration

/** The outcome of a call to a plain service. */
public sealed interface ServiceOutcome {
    /** The result code sent to the caller. */
    public val code: ResultCode

    /** The service answered this call or, according to the key's record, an earlier call with the same key. */
    public data class Answered(
        override val code: ResultCode,
        val answer: ServiceResult.Answered,
    ) : ServiceOutcome

    /** No answer is available; [code] tells whether the call ran. */
    public data class Unanswered(
        override val code: ResultCode,
        val detail: String,
        val retryAfter: Duration? = null,
    ) : ServiceOutcome
}
