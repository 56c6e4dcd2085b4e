package plantainturn.request.service.internal

import plantainturn.connection.service.ServiceResult
import plantainturn.process.ResultCode

/** The result of dispatching a call. */
internal sealed interface DispatchResult {
    /** An upstream answered. */
    class Answered(
        val answer: ServiceResult.Answered,
    ) : DispatchResult

    /** The call may have run. */
    data class Unknown(
        val reason: String,
    ) : DispatchResult

    /** The call reached no upstream and will not be sent again; [code] tells why. */
    data class NotRun(
        val code: ResultCode,
        val detail: String,
    ) : DispatchResult
}
