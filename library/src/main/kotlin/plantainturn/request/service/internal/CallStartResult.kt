package plantainturn.request.service.internal

import plantainturn.connection.upstream.SendPermit
import plantainturn.connection.upstream.UpstreamView

/** The result of choosing an upstream for a call. */
internal sealed interface CallStartResult {
    /** The call may be sent to [view] with [permit], which must be ended. */
    class Started(
        val view: UpstreamView,
        val permit: SendPermit,
    ) : CallStartResult

    /** No attempt may be made now. */
    class Refused(
        val result: DispatchResult.NotRun,
    ) : CallStartResult
}
