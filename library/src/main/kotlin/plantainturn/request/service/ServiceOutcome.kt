package plantainturn.request.service

import plantainturn.connection.service.ServiceResult
import plantainturn.process.ResultCode
import kotlin.time.Duration

/** How a call to a plain service ended. */
public sealed interface ServiceOutcome {
    /** The number that the caller sees. */
    public val code: ResultCode

    /** The service answered, now or when the key was first used. */
    public data class Answered(
        override val code: ResultCode,
        val answer: ServiceResult.Answered,
    ) : ServiceOutcome

    /** There is no answer; [code] tells whether the call ran. */
    public data class Unanswered(
        override val code: ResultCode,
        val detail: String,
        val retryAfter: Duration? = null,
    ) : ServiceOutcome
}
