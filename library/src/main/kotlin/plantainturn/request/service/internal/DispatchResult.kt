package plantainturn.request.service.internal

import plantainturn.connection.service.ServiceResult
import plantainturn.process.ResultCode

/** What is known after a call was dispatched. */
internal sealed interface DispatchResult {
    /** An upstream answered. */
    class Answered(
        val answer: ServiceResult.Answered,
    ) : DispatchResult

    /** The call may have run. */
    data class Unknown(
        val reason: String,
    ) : DispatchResult

    /** The call reached no upstream and will reach none; [code] tells why. */
    data class NotRun(
        val code: ResultCode,
        val detail: String,
    ) : DispatchResult
}
