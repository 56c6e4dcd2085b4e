package plantainturn.request.service.internal

import plantainturn.connection.upstream.SendPermit
import plantainturn.connection.upstream.UpstreamView

/** What came of choosing an upstream for a call. */
internal sealed interface CallStartResult {
    /** The call goes to [view] under [permit]. */
    class Started(
        val view: UpstreamView,
        val permit: SendPermit,
    ) : CallStartResult

    /** No attempt is made now. */
    class Refused(
        val result: DispatchResult.NotRun,
    ) : CallStartResult
}
